//! Compares routing policies on recorded requests: time to first token, token gaps and prefix hits.

pub mod engine;
mod replay;

pub use replay::{Row, replay_trace};

use crate::plot::{self, Line};
use filberttrail_kernel::Result;
use filberttrail_stand_in::requests::{self, Shape, Trace};
use serde::Serialize;

/// Limit for the 95th percentile of the time to first token, in seconds.
pub const FIRST_TOKEN_LIMIT: f64 = 1.0;
/// Target: the 95th percentile of `expected-wait`, divided by that of `least-requests`.
pub const RATIO_TARGET: f64 = 0.5;
/// Request rates to try, as multiples of the trace's own, to find where `least-requests` first
/// misses the limit.
const RATE_FACTORS: [f64; 16] =
    [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0];
/// The ratio to `least-requests` that is allowed on a trace without shared prefixes: no worse.
const OWN_RATIO_TARGET: f64 = 1.0;

/// The result of the comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed of the generated traces and of the policies.
    pub seed: u64,
    /// Every policy on every trace, at the lowest rate at which `least-requests` misses the limit.
    pub rows: Vec<Row>,
    /// The 95th percentile of `expected-wait` divided by that of `least-requests`, on the worst
    /// trace with shared prefixes.
    pub shared_ratio: f64,
    /// The same ratio on the worst trace without shared prefixes.
    pub own_ratio: f64,
    /// Whether the targets are met: [`RATIO_TARGET`] with shared prefixes, and no worse without
    /// them.
    pub met: bool,
}

/// Compares the policies on the recorded traces and on two traces generated from the seed.
pub fn compare(seed: u64, recorded: &[Trace]) -> Result<Outcome> {
    let own_shape = Shape { prefixes: 0, ..Shape::default() };
    let mut traces = vec![
        requests::generate("requests-shared-own-seed", seed, Shape::default()),
        requests::generate("requests-own-own-seed", seed, own_shape),
    ];
    traces.extend(recorded.iter().cloned());
    let mut rows = Vec::new();
    let (mut shared_ratio, mut own_ratio): (f64, f64) = (0.0, 0.0);
    for trace in &traces {
        let rate_factor = find_saturation_rate(trace, seed)?;
        let least_requests = replay_trace("least-requests", trace, rate_factor, seed)?;
        let expected_wait = replay_trace("expected-wait", trace, rate_factor, seed)?;
        let ratio = expected_wait.first_p95 / least_requests.first_p95;
        let worst_ratio =
            if trace.name.contains("shared") { &mut shared_ratio } else { &mut own_ratio };
        *worst_ratio = worst_ratio.max(ratio);
        rows.push(replay_trace("round-robin", trace, rate_factor, seed)?);
        rows.push(replay_trace("two-choices", trace, rate_factor, seed)?);
        rows.extend([least_requests, expected_wait]);
    }
    let met = shared_ratio <= RATIO_TARGET && own_ratio <= OWN_RATIO_TARGET;
    Ok(Outcome { seed, rows, shared_ratio, own_ratio, met })
}

/// Returns the lowest rate at which `least-requests` misses the limit for the time to first token.
fn find_saturation_rate(trace: &Trace, seed: u64) -> Result<f64> {
    for rate_factor in RATE_FACTORS {
        if replay_trace("least-requests", trace, rate_factor, seed)?.first_p95 > FIRST_TOKEN_LIMIT {
            return Ok(rate_factor);
        }
    }
    Ok(RATE_FACTORS[RATE_FACTORS.len() - 1])
}

impl Outcome {
    /// Draws each policy's 95th percentile of the time to first token, by trace.
    pub fn draw(&self, file: &str) -> Result<()> {
        let policies = ["round-robin", "two-choices", "least-requests", "expected-wait"];
        let line = |policy: &&str| {
            let rows = self.rows.iter().filter(|row| row.policy == **policy);
            Line::new(policy, rows.map(|row| row.first_p95))
        };
        let lines: Vec<Line> = policies.iter().map(line).collect();
        plot::draw(file, "Time to first token, 95th percentile", "trace", "seconds", &lines)
    }
}
