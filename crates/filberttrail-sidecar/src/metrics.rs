//! The metrics of a sidecar, in the Prometheus text format.

use prometheus::{
    Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// The registry and all metrics of a sidecar.
pub struct Metrics {
    registry: Registry,
    /// Number of attempts, by outcome.
    pub attempts: IntCounterVec,
    /// Requests in flight at the upstream.
    pub in_flight: IntGauge,
    /// Current concurrency limit of the upstream, in requests.
    pub limit: IntGauge,
    /// Generation of the configuration in force, or 0 if none is known.
    pub generation: IntGauge,
    /// Requests that are refused because they crash upstreams, counted once each.
    pub condemned: IntGauge,
    /// Number of writes to claims objects.
    pub claim_writes: IntGauge,
    /// Number of submitted operations on claims.
    pub claims: IntGauge,
    /// Expected load of the busiest rank divided by the mean; set by the group's lease holder.
    pub skew: Gauge,
    /// Number of expert weights that ranks had to fetch because the map changed.
    pub moves: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let opts = Opts::new("filberttrail_attempts_total", "Attempts by what came of them");
        let attempts = IntCounterVec::new(opts, &["outcome"]).unwrap_or_else(|error| {
            unreachable!("the metric's name and label are constants: {error}")
        });
        let _ = registry.register(Box::new(attempts.clone()));
        let gauge = |name: &str, help: &str| register_gauge(&registry, name, help);
        let in_flight = gauge("filberttrail_in_flight", "Requests in flight");
        let limit = gauge("filberttrail_limit", "Requests that the upstream bears now");
        let generation = gauge("filberttrail_generation", "The generation applied");
        let condemned = gauge("filberttrail_condemned_subjects", "Requests that crash upstreams");
        let claim_writes = gauge("filberttrail_claim_writes", "Writes of claims objects");
        let claims = gauge("filberttrail_claims", "Claims asked for");
        let skew = Gauge::new("filberttrail_step_skew", "Largest rank's load over the mean")
            .unwrap_or_else(|error| unreachable!("the metric's name is a constant: {error}"));
        let _ = registry.register(Box::new(skew.clone()));
        let moves = IntCounter::new("filberttrail_expert_moves_total", "Expert weights fetched")
            .unwrap_or_else(|error| unreachable!("the metric's name is a constant: {error}"));
        let _ = registry.register(Box::new(moves.clone()));
        Self {
            registry,
            attempts,
            in_flight,
            limit,
            generation,
            condemned,
            claim_writes,
            claims,
            skew,
            moves,
        }
    }

    /// Encodes the metrics as text.
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

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help)
        .unwrap_or_else(|error| unreachable!("the metric's name is a constant: {error}"));
    let _ = registry.register(Box::new(gauge.clone()));
    gauge
}
