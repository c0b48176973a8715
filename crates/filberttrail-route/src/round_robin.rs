//! Chooses the candidates in turn; the baseline of comparisons.

use crate::candidate::{Candidate, Request};
use crate::policy::Policy;
use fastrand::Rng;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Policy { name: "round-robin", score }
}

fn score(request: &Request, candidates: &[Candidate], _: &mut Rng) -> Vec<f64> {
    let count = candidates.len().max(1) as u64;
    let first = request.sequence % count;
    (0..candidates.len() as u64).map(|index| ((index + count - first) % count) as f64).collect()
}
