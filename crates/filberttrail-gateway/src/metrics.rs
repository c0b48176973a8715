//! Counters and histograms.

use prometheus::core::Metric;
use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, Opts, Registry, TextEncoder};
use std::time::Duration;

/// The metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    latency: Histogram,
    wait: Histogram,
    relay: Histogram,
}

/// Buckets of latencies, in seconds.
const BUCKETS: [f64; 12] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            Histogram::with_opts(options)
        };
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let metrics = Self {
            answers: counter("filberttrail_answers_total", "Answers to callers", "outcome")?,
            attempts: counter("filberttrail_attempts_total", "Sends to upstreams", "outcome")?,
            latency: histogram("filberttrail_latency_seconds", "Time to the head of an answer")?,
            wait: histogram("filberttrail_wait_seconds", "Time that a request waited for a slot")?,
            relay: histogram("filberttrail_relay_seconds", "Time to pass a streamed event on")?,
            registry,
        };
        metrics.registry.register(Box::new(metrics.answers.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.latency.clone()))?;
        metrics.registry.register(Box::new(metrics.wait.clone()))?;
        metrics.registry.register(Box::new(metrics.relay.clone()))?;
        Ok(metrics)
    }

    /// Counts an answer to a caller.
    pub fn note_answer(&self, outcome: &str, latency: Duration) {
        self.answers.with_label_values(&[outcome]).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a send to an upstream.
    pub fn note_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Notes how long a request waited for a slot.
    pub fn note_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Notes how long a streamed event took from its arrival to being handed on.
    pub fn note_relay(&self, took: Duration) {
        self.relay.observe(took.as_secs_f64());
    }

    /// Returns how many streamed events were passed on, and the part of them within a bound; none if
    /// there were no events, or if the bound is not one of the histogram's.
    pub fn relayed_within(&self, bound: Duration) -> (u64, Option<f64>) {
        let relayed = self.relay.metric();
        let histogram = relayed.get_histogram();
        let bound = bound.as_secs_f64();
        let within = histogram.get_bucket().iter().find(|bucket| bucket.upper_bound() == bound);
        let all = histogram.get_sample_count();
        let part = |within: u64| (all > 0).then(|| within as f64 / all as f64);
        (all, within.and_then(|bucket| part(bucket.cumulative_count())))
    }

    /// Writes the metrics as text.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
