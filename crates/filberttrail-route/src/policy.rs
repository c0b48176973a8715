//! Registry of routing policies.

use crate::candidate::{Candidate, Request};
use fastrand::Rng;
use filberttrail_kernel::plugin::{Plugin, inventory};

/// A routing policy. The candidate with the lowest score is chosen.
pub struct Policy {
    /// The name by which it is selected.
    pub name: &'static str,
    /// Returns one score per candidate, in seconds if the policy estimates a time.
    pub score: fn(&Request, &[Candidate], &mut Rng) -> Vec<f64>,
}

inventory::collect!(Policy);

impl Plugin for Policy {
    const KIND: &'static str = "--policy";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// The choice of a candidate and the scores that led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Scores of all candidates, in their order.
    pub scores: Vec<f64>,
}

impl Policy {
    /// Chooses the candidate with the lowest score among those with room; `None` if no candidate
    /// has room.
    pub fn choose(
        &self,
        request: &Request,
        candidates: &[Candidate],
        random: &mut Rng,
    ) -> Option<Choice> {
        let scores = (self.score)(request, candidates, random);
        let available = (0..candidates.len()).filter(|index| candidates[*index].has_room());
        let index = available.min_by(|left, right| scores[*left].total_cmp(&scores[*right]))?;
        Some(Choice { index, scores })
    }
}
