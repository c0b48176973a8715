//! Estimates the current popularity of experts from the counts of all ranks.

use crate::report::Counts;
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the exponential smoothing. Popularity shifts every few seconds, while a
/// group's requests average out within some tenths of a second.
const SMOOTHING: Duration = Duration::from_millis(350);

/// Smoothed popularity of the experts of every layer.
#[derive(Debug, Default)]
pub struct Estimator {
    last_counts: HashMap<usize, Counts>,
    layers: Vec<Vec<f64>>,
    last_observed_at: Duration,
}

impl Estimator {
    /// Creates an estimator without data.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the cumulative counts of the ranks at `now`. The increase since the previous counts
    /// forms the newest window. A window without tokens is ignored.
    pub fn observe(&mut self, now: Duration, counts: &[(usize, Counts)], layers: usize) {
        let mut window: Vec<f64> = Vec::new();
        for (rank, now) in counts {
            let before = self.last_counts.insert(*rank, now.clone());
            let Some(before) = before.filter(|before| before.counts.len() == now.counts.len())
            else {
                continue;
            };
            window.resize(now.counts.len(), 0.0);
            let pairs = now.counts.iter().zip(&before.counts);
            // Counts that decreased come from a rank that restarted and counts from zero.
            let monotonic = pairs.clone().all(|(now, before)| now >= before);
            for (sum, (now, before)) in window.iter_mut().zip(pairs) {
                *sum += if monotonic { now.saturating_sub(*before) } else { *now } as f64;
            }
        }
        let total: f64 = window.iter().sum();
        if layers == 0 || !window.len().is_multiple_of(layers) || total <= 0.0 {
            return;
        }
        let experts = window.len() / layers;
        let shares = window.chunks(experts).map(|layer| {
            let sum: f64 = layer.iter().sum();
            layer.iter().map(|count| count / sum.max(1.0)).collect::<Vec<f64>>()
        });
        let shares: Vec<Vec<f64>> = shares.collect();
        let age = now.saturating_sub(self.last_observed_at).as_secs_f64();
        let weight = 1.0 - (-age / SMOOTHING.as_secs_f64()).exp();
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
