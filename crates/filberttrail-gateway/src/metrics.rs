//! Prometheus metrics of the gateway.

use filberttrail_web::memory::{Budget, Cause, Part};
use prometheus::core::Metric;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::time::Duration;

/// The counters and histograms of a gateway.
pub struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    attempts: IntCounterVec,
    latency: Histogram,
    wait: Histogram,
    relay: Histogram,
    generation: IntGauge,
    store_age: GaugeVec,
    condemned_subjects: IntGauge,
    unreadable_objects: IntCounterVec,
    memory_used: IntGaugeVec,
    memory_size: IntGaugeVec,
    memory_denied: IntGaugeVec,
}

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            Histogram::with_opts(options)
        };
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels)
        };
        let metrics = Self {
            responses: counter("filberttrail_answers_total", "Answers to callers", "outcome")?,
            attempts: counter("filberttrail_attempts_total", "Sends to upstreams", "outcome")?,
            latency: histogram("filberttrail_latency_seconds", "Time to the head of an answer")?,
            wait: histogram("filberttrail_wait_seconds", "Time that a request waited for a slot")?,
            relay: histogram("filberttrail_relay_seconds", "Time to pass a streamed event on")?,
            generation: IntGauge::new("filberttrail_generation", "Active configuration")?,
            condemned_subjects: IntGauge::new(
                "filberttrail_condemned_subjects",
                "Subjects whose requests are refused because they crash upstreams",
            )?,
            unreadable_objects: counter(
                "filberttrail_unreadable_objects_total",
                "Objects read from the store that could not be decoded",
                "kind",
            )?,
            store_age: GaugeVec::new(
                Opts::new(
                    "filberttrail_store_age_seconds",
                    "Time since the knowledge was last proven to be current",
                ),
                &["kind"],
            )?,
            memory_used: gauge(
                "filberttrail_memory_used_bytes",
                "Memory held for callers and other entries",
                &["part"],
            )?,
            memory_size: gauge(
                "filberttrail_memory_size_bytes",
                "Memory that may be held for callers and other entries",
                &["part"],
            )?,
            memory_denied: gauge(
                "filberttrail_memory_denied",
                "Bodies and connections that were refused or evicted as memory was short",
                &["part", "cause"],
            )?,
            registry,
        };
        metrics.registry.register(Box::new(metrics.responses.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.latency.clone()))?;
        metrics.registry.register(Box::new(metrics.wait.clone()))?;
        metrics.registry.register(Box::new(metrics.relay.clone()))?;
        metrics.registry.register(Box::new(metrics.generation.clone()))?;
        metrics.registry.register(Box::new(metrics.store_age.clone()))?;
        metrics.registry.register(Box::new(metrics.condemned_subjects.clone()))?;
        metrics.registry.register(Box::new(metrics.unreadable_objects.clone()))?;
        metrics.registry.register(Box::new(metrics.memory_used.clone()))?;
        metrics.registry.register(Box::new(metrics.memory_size.clone()))?;
        metrics.registry.register(Box::new(metrics.memory_denied.clone()))?;
        Ok(metrics)
    }

    /// Sets the number of condemned subjects.
    pub fn set_condemned_subjects(&self, parts: usize) {
        self.condemned_subjects.set(parts as i64);
    }

    /// Sets what the memory budget has counted.
    pub fn set_memory(&self, budget: &Budget) {
        for part in Part::ALL {
            let set = |gauge: &IntGaugeVec, value: usize| {
                gauge.with_label_values(&[part.name()]).set(value as i64);
            };
            set(&self.memory_used, budget.used(part));
            set(&self.memory_size, budget.size(part));
            for cause in Cause::ALL {
                let gauge = self.memory_denied.with_label_values(&[part.name(), cause.name()]);
                gauge.set(budget.denied(part, cause) as i64);
            }
        }
    }

    /// Sets the generation of the active configuration; 0 while there is none.
    pub fn set_generation(&self, generation: u64) {
        self.generation.set(generation as i64);
    }

    /// Sets the time since the store last responded to a call about a kind of object.
    pub fn set_store_age(&self, kind: &str, age: Duration) {
        self.store_age.with_label_values(&[kind]).set(age.as_secs_f64());
    }

    /// Counts a response to a caller and records the latency of its head.
    pub fn record_response(&self, outcome: &str, latency: Duration) {
        self.responses.with_label_values(&[outcome]).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts an attempt to send a request to an upstream.
    pub fn record_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts an object of the store that could not be decoded.
    pub fn record_unreadable(&self, kind: &str) {
        self.unreadable_objects.with_label_values(&[kind]).inc();
    }

    /// Records the time that a request waited for a slot.
    pub fn record_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Records the time from the receipt of a streamed event to its forwarding.
    pub fn record_relay(&self, took: Duration) {
        self.relay.observe(took.as_secs_f64());
    }

    /// Returns the number of streamed events and the fraction that was forwarded within a bound.
    /// The fraction is missing if there were no events, or if the bound is not that of a bucket.
    pub fn relayed_within(&self, bound: Duration) -> (u64, Option<f64>) {
        let relayed = self.relay.metric();
        let histogram = relayed.get_histogram();
        let bound = bound.as_secs_f64();
        let within = histogram.get_bucket().iter().find(|bucket| bucket.upper_bound() == bound);
        let all = histogram.get_sample_count();
        let part = |within: u64| (all > 0).then(|| within as f64 / all as f64);
        (all, within.and_then(|bucket| part(bucket.cumulative_count())))
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
