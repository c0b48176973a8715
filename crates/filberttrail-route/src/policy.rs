//! The registry of routing policies.

use crate::candidate::{Candidate, Request};
use fastrand::Rng;
use filberttrail_kernel::plugin::{Plugin, inventory};

/// A way to choose among candidates; the lowest score wins.
pub struct Policy {
    /// The name that selects it.
    pub name: &'static str,
    /// Scores the candidates, in seconds where the policy has a unit.
    pub score: fn(&Request, &[Candidate], &mut Rng) -> Vec<f64>,
}

inventory::collect!(Policy);

impl Plugin for Policy {
    const KIND: &'static str = "--policy";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// A choice, with what it was made from.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The index of the chosen candidate.
    pub index: usize,
    /// Every candidate's score.
    pub scores: Vec<f64>,
}

impl Policy {
    /// Chooses a candidate that has room; `None` if none has.
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
