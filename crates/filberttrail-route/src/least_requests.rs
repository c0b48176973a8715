//! Chooses the candidate with the fewest requests in flight, as estimated by the entry.

use crate::candidate::{Candidate, Request};
use crate::policy::Policy;
use fastrand::Rng;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Policy { name: "least-requests", score }
}

fn score(_: &Request, candidates: &[Candidate], random: &mut Rng) -> Vec<f64> {
    // Ties are broken at random, so that entries do not all choose the first candidate.
    candidates.iter().map(|candidate| f64::from(candidate.in_flight()) + random.f64()).collect()
}
