//! The entry's metrics, in the Prometheus format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The entry's metrics and their registry.
pub struct Metrics {
    registry: Registry,
    /// Responses by HTTP status.
    pub responses: IntCounterVec,
    /// Rejected requests by cause.
    pub refusals: IntCounterVec,
    /// Attempts after the first of each request.
    pub retries: IntCounter,
    /// Seconds from the arrival of a request to its response head.
    pub head_seconds: Histogram,
    /// Admitted requests that have not ended.
    pub in_flight: IntGauge,
    /// Requests waiting for admission.
    pub waiting: IntGauge,
    /// The generation of the configuration in force; 0 if there is none.
    pub generation: IntGauge,
    /// Requests that are refused because they crash upstreams, counted once each.
    pub condemned: IntGauge,
    /// Calls made to the platform since the start.
    pub platform_calls: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let responses =
            register_counters(&registry, "filberttrail_answers_total", "Answers", "status");
        let refusals =
            register_counters(&registry, "filberttrail_refusals_total", "Refusals", "cause");
        let retries = IntCounter::new("filberttrail_retries_total", "Tries after the first")
            .unwrap_or_else(|error| panic_on_invalid(&error));
        let _ = registry.register(Box::new(retries.clone()));
        let opts = HistogramOpts::new("filberttrail_head_seconds", "Seconds to an answer's head");
        let head_seconds =
            Histogram::with_opts(opts).unwrap_or_else(|error| panic_on_invalid(&error));
        let _ = registry.register(Box::new(head_seconds.clone()));
        let in_flight = register_gauge(&registry, "filberttrail_in_flight", "Requests in flight");
        let waiting = register_gauge(&registry, "filberttrail_waiting", "Requests that wait");
        let generation =
            register_gauge(&registry, "filberttrail_generation", "The generation applied");
        let help = "Requests that crash upstreams";
        let condemned = register_gauge(&registry, "filberttrail_condemned_subjects", help);
        let platform_calls =
            register_gauge(&registry, "filberttrail_store_calls", "Calls to the platform");
        Self {
            registry,
            responses,
            refusals,
            retries,
            head_seconds,
            in_flight,
            waiting,
            generation,
            condemned,
            platform_calls,
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn panic_on_invalid(error: &prometheus::Error) -> ! {
    unreachable!("names and labels of metrics are valid constants: {error}")
}

fn register_counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let created = IntCounterVec::new(Opts::new(name, help), &[label]);
    let vector = created.unwrap_or_else(|error| panic_on_invalid(&error));
    let _ = registry.register(Box::new(vector.clone()));
    vector
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).unwrap_or_else(|error| panic_on_invalid(&error));
    let _ = registry.register(Box::new(gauge.clone()));
    gauge
}
