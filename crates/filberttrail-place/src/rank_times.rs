//! The times that ranks take for one layer, and a smooth estimate of the longest one.

use crate::map::Map;

/// Exponent of the rank times in the estimate. A high exponent makes the longest time dominate.
const EXPONENT: i32 = 8;

/// The times of all ranks of a layer, 1 for evenly loaded ranks, and the sum of their powers. The
/// sum is updated by differences, so that the cost of a move does not grow with the number of
/// ranks.
#[derive(Debug, Clone)]
pub(crate) struct RankTimes {
    times: Vec<f64>,
    /// Time per unit of load, by rank.
    factors: Vec<f64>,
    power_sum: f64,
}

impl RankTimes {
    /// Computes the times under a map. `slowdowns` has a factor per rank; ranks without one count as
    /// healthy. Returns `None` if there is no load.
    pub(crate) fn new(map: &Map, popularity: &[f64], slowdowns: &[f64]) -> Option<Self> {
        let slowdown = |rank: usize| slowdowns.get(rank).copied().unwrap_or(1.0);
        let loads = map.loads(popularity);
        let speed: f64 = (0..loads.len()).map(|rank| 1.0 / slowdown(rank).max(1.0)).sum();
        let even_load = loads.iter().sum::<f64>() / speed;
        if even_load.is_nan() || even_load <= 0.0 {
            return None;
        }
        let factors: Vec<f64> = (0..loads.len()).map(|rank| slowdown(rank) / even_load).collect();
        let times: Vec<f64> =
            loads.iter().zip(&factors).map(|(load, factor)| load * factor).collect();
        let power_sum = times.iter().map(|time| time.powi(EXPONENT)).sum();
        Some(Self { times, factors, power_sum })
    }

    /// Returns the number of ranks.
    pub(crate) fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns the rank with the longest time.
    pub(crate) fn find_straggler(&self) -> Option<usize> {
        (0..self.times.len()).max_by(|one, other| self.times[*one].total_cmp(&self.times[*other]))
    }

    /// Returns the sum of the powers of the times, from which `estimate_longest` follows.
    pub(crate) fn power_sum(&self) -> f64 {
        self.power_sum
    }

    /// Returns the change of the sum of powers if a rank's load changed by `load`.
    pub(crate) fn power_difference(&self, rank: usize, load: f64) -> f64 {
        let time = self.times[rank];
        (time + load * self.factors[rank]).powi(EXPONENT) - time.powi(EXPONENT)
    }

    /// Adds load to a rank.
    pub(crate) fn add(&mut self, rank: usize, load: f64) {
        self.power_sum += self.power_difference(rank, load);
        self.times[rank] += load * self.factors[rank];
    }
}

/// Returns a smooth approximation of the longest time from the sum of the powers of all times.
pub(crate) fn estimate_longest(power_sum: f64) -> f64 {
    power_sum.max(0.0).powf(1.0 / f64::from(EXPONENT))
}
