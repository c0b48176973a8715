//! A retry budget, which keeps retries from amplifying an overload.
//!
//! Invariant: over any period, retries are at most the given ratio of first attempts plus a small
//! burst.

/// Maximum number of retries that can accumulate.
const BURST: f64 = 10.0;

/// The retry budget of one entry.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    available: f64,
}

impl Budget {
    /// Creates a full budget that allows `percent` retries per 100 first attempts.
    pub fn new(percent: u32) -> Self {
        Self { ratio: f64::from(percent) / 100.0, available: BURST }
    }

    /// Changes the ratio; accumulated retries are kept.
    pub fn configure(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Records a first attempt, which adds its share of a retry to the budget.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(BURST);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.available >= 1.0;
        if granted {
            self.available -= 1.0;
        }
        granted
    }
}
