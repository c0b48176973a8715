//! How many expert weights may be fetched now: a share of the weight store's rate, saved up for a
//! sudden change.

/// Weights that one decision may fetch on the average.
pub const RATE: usize = 44;
/// Weights that may be saved up.
pub const BURST: usize = 176;

/// The allowance of one layer of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowance {
    saved: usize,
}

impl Allowance {
    /// Starts with one decision's weights.
    pub fn new() -> Self {
        Self { saved: 0 }
    }

    /// Begins a decision, and returns what it may fetch.
    pub fn refill(&mut self) -> usize {
        self.saved = (self.saved + RATE).min(BURST);
        self.saved
    }

    /// Notes what the decision fetched.
    pub fn spend(&mut self, moves: usize) {
        self.saved = self.saved.saturating_sub(moves);
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self::new()
    }
}
