//! A budget that keeps retries from multiplying an overload.
//!
//! Invariant: over any time, retries are at most the given share of first tries plus a small burst.

/// Retries that may be saved up.
const BURST: f64 = 10.0;

/// The budget of one entry.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    available: f64,
}

impl Budget {
    /// Makes a full budget of so many retries for each hundred first tries.
    pub fn new(percent: u32) -> Self {
        Self { ratio: f64::from(percent) / 100.0, available: BURST }
    }

    /// Changes the share; what is saved up stays.
    pub fn configure(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(BURST);
    }

    /// Asks for a retry.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.available >= 1.0;
        if granted {
            self.available -= 1.0;
        }
        granted
    }
}
