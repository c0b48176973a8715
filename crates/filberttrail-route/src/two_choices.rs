//! Chooses the less loaded of two random candidates (the power of two choices).

use crate::candidate::{Candidate, Request};
use crate::policy::Policy;
use fastrand::Rng;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Policy { name: "two-choices", score }
}

/// Score penalty that ranks all other candidates behind the two that were picked.
const UNPICKED_PENALTY: f64 = 1e6;

fn score(_: &Request, candidates: &[Candidate], random: &mut Rng) -> Vec<f64> {
    let mut scores: Vec<f64> = candidates
        .iter()
        .map(|candidate| UNPICKED_PENALTY + f64::from(candidate.in_flight()))
        .collect();
    let available: Vec<usize> =
        (0..candidates.len()).filter(|index| candidates[*index].has_room()).collect();
    for _ in 0..2 {
        if let Some(picked) = random.choice(&available) {
            scores[*picked] = f64::from(candidates[*picked].in_flight());
        }
    }
    scores
}
