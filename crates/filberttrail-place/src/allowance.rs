//! Limits how many expert weights a decision may fetch. The allowance is a token bucket whose rate
//! is a share of the weight store's bandwidth; unused weights accumulate for a sudden change in
//! popularity.

/// Expert weights that one decision may fetch on average.
pub const RATE: usize = 44;
/// Maximum number of expert weights that can accumulate.
pub const BURST: usize = 176;

/// The allowance of one layer of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowance {
    available: usize,
}

impl Allowance {
    /// Creates an allowance; the first refill grants the weights of one decision.
    pub fn new() -> Self {
        Self { available: 0 }
    }

    /// Adds the weights of one decision and returns how many may be fetched now.
    pub fn refill(&mut self) -> usize {
        self.available = (self.available + RATE).min(BURST);
        self.available
    }

    /// Deducts the weights that a decision fetched.
    pub fn spend(&mut self, moves: usize) {
        self.available = self.available.saturating_sub(moves);
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self::new()
    }
}
