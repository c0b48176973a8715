//! The registry of placement policies.

use crate::allowance::RATE;
use crate::map::Map;
use filberttrail_kernel::plugin::{Plugin, inventory};

/// What a placement must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Slots of a rank.
    pub slots: u32,
    /// The most expert weights fetched by one change.
    pub max_moves: usize,
    /// A skew that is not worth a move.
    pub target_skew: f64,
}

impl Default for Constraints {
    fn default() -> Self {
        Self { slots: 2, max_moves: RATE, target_skew: 1.06 }
    }
}

/// A way to find the next map.
pub struct Placer {
    /// The name that selects it.
    pub name: &'static str,
    /// Finds the next map for the popularity of the experts.
    pub place: fn(&Map, &[f64], &Constraints) -> Map,
}

inventory::collect!(Placer);

impl Plugin for Placer {
    const KIND: &'static str = "--placer";

    fn name(&self) -> &'static str {
        self.name
    }
}
