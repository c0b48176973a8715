//! Registry of placement policies.

use crate::allowance::RATE;
use crate::map::Map;
use filberttrail_kernel::plugin::{Plugin, inventory};

/// Constraints on the next map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Number of expert slots per rank.
    pub slots: u32,
    /// Maximum number of expert weights that one change may fetch.
    pub max_moves: usize,
    /// Skew at or below which no expert is moved.
    pub target_skew: f64,
}

impl Default for Constraints {
    fn default() -> Self {
        Self { slots: 2, max_moves: RATE, target_skew: 1.06 }
    }
}

/// A placement policy.
pub struct Placer {
    /// The name by which it is selected.
    pub name: &'static str,
    /// Computes the next map from the current map and the popularity of the experts.
    pub place: fn(&Map, &[f64], &Constraints) -> Map,
}

inventory::collect!(Placer);

impl Plugin for Placer {
    const KIND: &'static str = "--placer";

    fn name(&self) -> &'static str {
        self.name
    }
}
