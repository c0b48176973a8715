//! Estimates the popularity of experts by exponential smoothing of token counts.

/// Weight of the newest window.
const NEWEST_WEIGHT: f64 = 0.5;

/// Each expert's share of the tokens, smoothed over windows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Popularity {
    shares: Vec<f64>,
}

impl Popularity {
    /// Creates an estimate without data.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the counts of a window. A window without tokens is ignored, and a change in the number
    /// of experts restarts the estimate.
    pub fn observe(&mut self, counts: &[f64]) {
        let total: f64 = counts.iter().sum();
        if total <= 0.0 || !total.is_finite() {
            return;
        }
        let shares = counts.iter().map(|count| count / total);
        if self.shares.len() != counts.len() {
            self.shares = shares.collect();
            return;
        }
        for (smoothed, share) in self.shares.iter_mut().zip(shares) {
            *smoothed += NEWEST_WEIGHT * (share - *smoothed);
        }
    }

    /// Returns each expert's share of the tokens, which sum to 1; empty before the first window.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }
}
