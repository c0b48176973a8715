//! Generates synthetic traces of expert popularity for the placement benchmarks.
//!
//! The popularity of an expert combines a daily cycle, a rise towards a filing deadline and a topic
//! that suddenly becomes popular. Generated traces are committed to the repository.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// Number of windows in a day; each covers five minutes.
pub const WINDOWS: usize = 288;
/// Duration of a popular topic, in windows.
const TOPIC_WINDOWS: usize = 48;
/// Scale of the counts: expert choices of a window, in thousands, at a mean weight of 1.
const CHOICES_PER_WINDOW: f64 = 20_000.0;

/// How often each expert of a layer is chosen in each window of a day. Only the ratios of the
/// counts are meaningful.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Seed of the random generator that produced it.
    pub seed: u64,
    /// Number of experts in the layer.
    pub experts: usize,
    /// Counts of each window, by expert.
    pub windows: Vec<Vec<u32>>,
}

/// Generates a trace of one day.
pub fn generate(name: &str, seed: u64, experts: usize) -> Trace {
    let mut random = Rng::with_seed(seed);
    let base: Vec<f64> = (0..experts).map(|_| (random.f64() * 1.6).exp()).collect();
    let phase: Vec<f64> = (0..experts).map(|_| random.f64() * std::f64::consts::TAU).collect();
    let topic_experts: Vec<usize> = (0..4).map(|_| random.usize(0..experts)).collect();
    let topic_start = WINDOWS / 3 + random.usize(0..WINDOWS / 3);
    let deadline_affinity: Vec<f64> = (0..experts).map(|_| random.f64()).collect();
    let windows = (0..WINDOWS).map(|window| {
        let time = window as f64 / WINDOWS as f64;
        let deadline_rise = time.powi(3);
        let counts = (0..experts).map(|expert| {
            let daily_factor = 1.0 + 0.5 * (std::f64::consts::TAU * time + phase[expert]).sin();
            let deadline_factor =
                1.0 + deadline_rise * if deadline_affinity[expert] > 0.85 { 1.5 } else { 0.0 };
            let on_topic = (topic_start..topic_start + TOPIC_WINDOWS).contains(&window)
                && topic_experts.contains(&expert);
            let weight =
                base[expert] * daily_factor * deadline_factor * if on_topic { 4.0 } else { 1.0 };
            let noise = 1.0 + (random.f64() - 0.5) * 0.2;
            (weight * noise * CHOICES_PER_WINDOW / experts as f64) as u32
        });
        counts.collect()
    });
    let windows = windows.collect();
    Trace { name: name.to_string(), seed, experts, windows }
}
