//! Compares the step skew and the bytes moved of placement policies, on traces of drifting
//! popularity.

use crate::plot::{self, Line};
use filberttrail_kernel::{Result, plugin};
use filberttrail_place::{Allowance, Constraints, Map, Placer, Popularity};
use filberttrail_stand_in::popularity::{self, Trace, WINDOWS};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Size of the weights of one expert, in bytes.
pub const EXPERT_BYTES: u64 = 44 << 20;
/// Windows between two placement decisions.
const DECISION_PERIOD: usize = 3;
/// Target: the 95th percentile of the skew, divided by that of a full repack.
pub const SKEW_TARGET: f64 = 1.05;
/// Target: the bytes moved, divided by those of a full repack.
pub const BYTES_TARGET: f64 = 0.1;

/// The size of a lock-step group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Size {
    /// Number of ranks.
    pub ranks: u32,
    /// Experts of each layer.
    pub experts: u32,
    /// Expert slots of each rank.
    pub slots: u32,
}

/// What one policy achieved on one trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The name of the placement policy.
    pub placer: String,
    /// The name of the trace.
    pub trace: String,
    /// Median of the windows' skew.
    pub skew_p50: f64,
    /// 95th percentile of the windows' skew.
    pub skew_p95: f64,
    /// 99th percentile of the windows' skew.
    pub skew_p99: f64,
    /// Experts whose weights were moved over the whole trace.
    pub moves: u64,
    /// Bytes moved over the whole trace, in one layer.
    pub bytes: u64,
    /// The longest time of one decision, in microseconds.
    pub decision_us: u64,
    /// The skew of each window, for [`Outcome::draw`].
    #[serde(skip)]
    pub skews: Vec<f64>,
}

/// Replays a trace: each window uses the map that was decided on the windows before it. Returns an
/// error if the policy is unknown or decides on an invalid map.
pub fn replay_trace(name: &str, trace: &Trace, size: Size, terms: &Constraints) -> Result<Row> {
    let placer = plugin::find::<Placer>(name)?;
    let mut map = Map::uniform(size.experts, size.ranks, size.slots);
    let mut observed = Popularity::new();
    let mut skews = Vec::with_capacity(WINDOWS);
    let mut moves = 0;
    let mut allowance = Allowance::new();
    let mut longest_decision = Duration::ZERO;
    for (window, counts) in trace.windows.iter().enumerate() {
        let counts: Vec<f64> = counts.iter().map(|count| f64::from(*count)).collect();
        skews.push(map.skew(&counts));
        observed.observe(&counts);
        if window % DECISION_PERIOD == DECISION_PERIOD - 1 {
            let started_at = Instant::now();
            let terms = Constraints { max_moves: allowance.refill(), ..*terms };
            let next = (placer.place)(&map, observed.shares(), &terms);
            longest_decision = longest_decision.max(started_at.elapsed());
            next.check(size.slots)?;
            let moved = next.moves_from(&map);
            allowance.spend(moved);
            moves += moved as u64;
            map = next;
        }
    }
    let mut sorted = skews.clone();
    sorted.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| sorted[((sorted.len() - 1) as f64 * fraction) as usize];
    Ok(Row {
        placer: name.to_string(),
        trace: trace.name.clone(),
        skew_p50: quantile(0.5),
        skew_p95: quantile(0.95),
        skew_p99: quantile(0.99),
        moves,
        bytes: moves * EXPERT_BYTES,
        decision_us: longest_decision.as_micros() as u64,
        skews,
    })
}

/// The result of the comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The size of the group.
    pub size: Size,
    /// The seed of the generated trace.
    pub seed: u64,
    /// Every policy on every trace.
    pub rows: Vec<Row>,
    /// The 95th percentile of the skew divided by that of a full repack, on the worst trace.
    pub skew_ratio: f64,
    /// The bytes moved divided by those of a full repack, on the worst trace.
    pub bytes_ratio: f64,
    /// Whether both targets are met.
    pub met: bool,
}

/// Compares the policies on the recorded traces of this size and on one generated from the seed.
pub fn compare(seed: u64, size: Size, recorded: &[Trace]) -> Result<Outcome> {
    let mut traces = vec![popularity::generate("own-seed", seed, size.experts as usize)];
    traces.extend(recorded.iter().filter(|item| item.experts == size.experts as usize).cloned());
    let terms = Constraints { slots: size.slots, ..Constraints::default() };
    let mut rows = Vec::new();
    let (mut skew_ratio, mut bytes_ratio): (f64, f64) = (0.0, 0.0);
    for trace in &traces {
        let never = replay_trace("never", trace, size, &terms)?;
        let full_repack = replay_trace("full-repack", trace, size, &terms)?;
        let few_moves = replay_trace("few-moves", trace, size, &terms)?;
        skew_ratio = skew_ratio.max(few_moves.skew_p95 / full_repack.skew_p95);
        bytes_ratio = bytes_ratio.max(few_moves.bytes as f64 / full_repack.bytes.max(1) as f64);
        rows.extend([never, full_repack, few_moves]);
    }
    let met = skew_ratio <= SKEW_TARGET && bytes_ratio <= BYTES_TARGET;
    Ok(Outcome { size, seed, rows, skew_ratio, bytes_ratio, met })
}

/// Returns an error if no expert map fits the size.
pub fn check_size(size: Size) -> Result<()> {
    let slots = u64::from(size.ranks) * u64::from(size.slots);
    if size.experts == 0 || slots < u64::from(size.experts) || size.slots > size.experts {
        let message = format!("{slots} slots for {} experts", size.experts);
        let help = "give each expert at least one slot, and a rank no more slots than experts";
        return Err(filberttrail_kernel::Error::setting("--slots", message, help).into());
    }
    Ok(())
}

impl Outcome {
    /// Draws the skew of each window on the first trace.
    pub fn draw(&self, file: &str) -> Result<()> {
        let first = self.rows.iter().take(3);
        let lines: Vec<Line> = first.map(|row| Line::new(&row.placer, row.skews.clone())).collect();
        plot::draw(file, "Step skew over a day", "window of five minutes", "skew", &lines)
    }
}
