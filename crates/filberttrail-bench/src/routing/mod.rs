//! Time to first token, gaps and prefix hits of routing policies, on recorded requests.

pub mod engine;
mod replay;

pub use replay::{Row, replay_trace};

use crate::plot::{self, Line};
use filberttrail_kernel::Result;
use filberttrail_stand_in::requests::{self, Shape, Trace};
use serde::Serialize;

/// A first token later than this is late, in seconds.
pub const FIRST_TOKEN: f64 = 1.0;
/// The stated target: our 95th percentile against that of least requests.
pub const RATIO_TARGET: f64 = 0.5;
/// Paces tried for the load where least requests begins to miss, as parts of the trace's own.
const PACES: [f64; 16] =
    [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0];
/// What counts as no worse on a trace without shared prefixes: noise of one replay.
const NO_WORSE: f64 = 1.0;

/// The outcome of a comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Every policy on every trace, at the load where least requests begins to miss.
    pub rows: Vec<Row>,
    /// Our 95th percentile against that of least requests, with shared beginnings, the worst.
    pub shared_ratio: f64,
    /// The same without shared beginnings.
    pub own_ratio: f64,
    /// Whether the stated target is met.
    pub met: bool,
}

/// Compares the policies on the recorded traces and two of the reader's own seed.
pub fn compare(seed: u64, recorded: &[Trace]) -> Result<Outcome> {
    let own = Shape { prefixes: 0, ..Shape::default() };
    let mut traces = vec![
        requests::generate("requests-shared-own-seed", seed, Shape::default()),
        requests::generate("requests-own-own-seed", seed, own),
    ];
    traces.extend(recorded.iter().cloned());
    let mut rows = Vec::new();
    let (mut shared_ratio, mut own_ratio): (f64, f64) = (0.0, 0.0);
    for trace in &traces {
        let pace = missing_pace(trace, seed)?;
        let naive = replay_trace("least-requests", trace, pace, seed)?;
        let ours = replay_trace("expected-wait", trace, pace, seed)?;
        let ratio = ours.first_p95 / naive.first_p95;
        let worst = if trace.name.contains("shared") { &mut shared_ratio } else { &mut own_ratio };
        *worst = worst.max(ratio);
        rows.push(replay_trace("round-robin", trace, pace, seed)?);
        rows.push(replay_trace("two-choices", trace, pace, seed)?);
        rows.extend([naive, ours]);
    }
    let met = shared_ratio <= RATIO_TARGET && own_ratio <= NO_WORSE;
    Ok(Outcome { seed, rows, shared_ratio, own_ratio, met })
}

/// Finds the lowest pace at which least requests misses the first token's time.
fn missing_pace(trace: &Trace, seed: u64) -> Result<f64> {
    for pace in PACES {
        if replay_trace("least-requests", trace, pace, seed)?.first_p95 > FIRST_TOKEN {
            return Ok(pace);
        }
    }
    Ok(PACES[PACES.len() - 1])
}

impl Outcome {
    /// Draws each policy's time to the first token over the traces.
    pub fn draw(&self, file: &str) -> Result<()> {
        let policies = ["round-robin", "two-choices", "least-requests", "expected-wait"];
        let line = |policy: &&str| {
            let rows = self.rows.iter().filter(|row| row.policy == **policy);
            Line::new(policy, rows.map(|row| row.first_p95))
        };
        let lines: Vec<Line> = policies.iter().map(line).collect();
        plot::draw(file, "First token, 95 in 100", "trace", "seconds", &lines)
    }
}
