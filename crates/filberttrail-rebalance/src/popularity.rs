//! Estimates the current popularity of experts from the increments of all ranks' counts.

use std::time::Duration;

/// Time constant of the exponential smoothing. Popularity shifts every few seconds, while a
/// group's requests average out within some tenths of a second.
const SMOOTHING: Duration = Duration::from_millis(350);

/// Number of ranks whose requests average out within one window. Experts are selected by the content
/// of requests, so the window of a large group shows a shift by itself, while that of a small group
/// shows its few requests.
const REPRESENTATIVE_RANKS: f64 = 32.0;

/// Smoothed popularity of the experts of every layer.
#[derive(Debug, Default)]
pub struct Estimator {
    layers: Vec<Vec<f64>>,
    last_observed_at: Duration,
}

impl Estimator {
    /// Creates an estimator without data.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a window that ends at `now`: how often each expert was selected in it, layer by layer,
    /// summed over `ranks` ranks. A window without tokens is ignored.
    pub fn observe(&mut self, now: Duration, window: &[u64], layers: usize, ranks: usize) {
        let is_empty = window.iter().all(|count| *count == 0);
        if layers == 0 || !window.len().is_multiple_of(layers) || is_empty {
            return;
        }
        let experts = window.len() / layers;
        let shares = window.chunks(experts).map(|layer| {
            let sum = layer.iter().map(|count| *count as f64).sum::<f64>().max(1.0);
            layer.iter().map(|count| *count as f64 / sum).collect::<Vec<f64>>()
        });
        let shares: Vec<Vec<f64>> = shares.collect();
        let age = now.saturating_sub(self.last_observed_at).as_secs_f64();
        let by_age = 1.0 - (-age / SMOOTHING.as_secs_f64()).exp();
        let by_size = 1.0 - (-(ranks as f64) / REPRESENTATIVE_RANKS).exp();
        let weight = by_age.max(by_size);
        self.last_observed_at = now;
        if self.layers.len() != shares.len() {
            self.layers = shares;
        } else {
            for (smoothed, share) in self.layers.iter_mut().flatten().zip(shares.iter().flatten()) {
                *smoothed += weight * (share - *smoothed);
            }
        }
    }

    /// Returns the expert shares of each layer, which sum to 1; empty before the first window.
    pub fn layers(&self) -> &[Vec<f64>] {
        &self.layers
    }
}
