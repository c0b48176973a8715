//! Measures what coordinating a lock-step group costs at several sizes: the messages of a round and
//! of a change of map, directly and through relays, and the time to compute a map.

use fastrand::Rng;
use filberttrail_kernel::{Error, Result};
use filberttrail_place::spread::{self, Constraints};
use filberttrail_place::{Map, placer};
use filberttrail_rebalance::order::{Envelope, Order};
use filberttrail_rebalance::peer::{Answer, Call, Member, Query, Reply};
use filberttrail_rebalance::{Report, fanout};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Group sizes, in ranks.
pub const SIZES: [usize; 5] = [8, 32, 63, 96, 256];
/// Link of the VM beside an engine in the largest deployment, in bytes per second.
const LINK: f64 = 6e6 / 8.0;
/// Target: the time that the messages of a round take on that link, in seconds. Counts are read
/// each 0.2 s.
pub const ROUND_TARGET_S: f64 = 0.2;
/// Target: the pass time after two changes, divided by that of a full repack.
pub const SKEW_TARGET: f64 = 1.05;
/// Layers whose experts are placed separately.
const LAYERS: usize = 16;
/// Experts of a layer for each rank, and slots of a rank in a layer.
const EXPERTS_PER_RANK: usize = 2;
const SLOTS: usize = 3;
/// Largest increment of one expert's count on one rank between two rounds.
const COUNT_LIMIT: u64 = 60;

/// What one size costs.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of rebalancers that the coordinator calls.
    pub branches: usize,
    /// Bytes that the coordinator receives in a round with counts.
    pub round_bytes: usize,
    /// Bytes that it would receive if it called every rank directly.
    pub direct_round_bytes: usize,
    /// Bytes that the coordinator sends to have a map prepared.
    pub prepare_bytes: usize,
    /// Bytes that it would send if it called every rank directly.
    pub direct_prepare_bytes: usize,
    /// Time of a round's messages on the coordinator's link, in seconds.
    pub round_s: f64,
    /// Time to compute a change of the maps of all layers, in milliseconds.
    pub decision_ms: f64,
    /// Pass time after two changes, divided by that of a full repack.
    pub skew_ratio: f64,
}

/// The costs at all sizes.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed of the popularity.
    pub seed: u64,
    /// One row per size.
    pub rows: Vec<Row>,
    /// Whether the targets are met at all sizes.
    pub met: bool,
}

/// Measures all sizes.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn measure(seed: u64) -> Result<Outcome> {
    let rows =
        SIZES.into_iter().map(|ranks| measure_size(seed, ranks)).collect::<Result<Vec<_>>>()?;
    let met = rows.iter().all(|row| row.round_s <= ROUND_TARGET_S && row.skew_ratio <= SKEW_TARGET);
    Ok(Outcome { seed, rows, met })
}

fn measure_size(seed: u64, ranks: usize) -> Result<Row> {
    let mut random = Rng::with_seed(seed);
    let experts = ranks * EXPERTS_PER_RANK;
    let branches = fanout::split(&(1..ranks).collect::<Vec<_>>());
    let mut round_bytes = 0;
    for branch in &branches {
        let members = branch.members.iter().map(|rank| (*rank, reply(*rank, ranks))).collect();
        let called = branch.members.len() as u64 + 1;
        let counts = draw_counts(&mut random, experts, COUNT_LIMIT * called);
        round_bytes += encoded_size(&Answer { own: reply(branch.relay, ranks), members, counts })?;
    }
    let direct = Answer {
        own: reply(1, ranks),
        members: Vec::new(),
        counts: draw_counts(&mut random, experts, COUNT_LIMIT),
    };
    let popularity = draw_popularity(&mut random, experts);
    let uniform = Map::uniform(experts as u32, ranks as u32, SLOTS as u32);
    let constraints =
        Constraints { slots: SLOTS, copies_per_layer: SLOTS, copies_per_rank: SLOTS * LAYERS };
    let started_at = Instant::now();
    let first = spread::spread(&vec![uniform.clone(); LAYERS], &popularity, &[], &constraints);
    let decision_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    let second = spread::spread(&first, &popularity, &[], &constraints);
    let terms = placer::Constraints { slots: SLOTS as u32, ..placer::Constraints::default() };
    let repack =
        |shares: &Vec<f64>| filberttrail_place::full_repack::repack(&uniform, shares, &terms);
    let repacked: Vec<Map> = popularity.iter().map(repack).collect();
    let best = spread::compute_pass_time(&repacked, &popularity, &[]);
    let map = second.iter().map(|map| map.ranks.clone()).collect();
    let order = Order::Prepare { version: 1 << 41, map: Arc::new(map) };
    let address = SocketAddr::from(([10, 1, 0, 40], 8_227));
    let mut prepare_bytes = 0;
    for branch in &branches {
        let members = branch.members.iter().map(|rank| Member(*rank, address)).collect();
        prepare_bytes += encoded_size(&prepare(&order, members))?;
    }
    Ok(Row {
        ranks,
        branches: branches.len(),
        round_bytes,
        direct_round_bytes: encoded_size(&direct)? * (ranks - 1),
        prepare_bytes,
        direct_prepare_bytes: encoded_size(&prepare(&order, Vec::new()))? * (ranks - 1),
        round_s: round_bytes as f64 / LINK,
        decision_ms,
        skew_ratio: spread::compute_pass_time(&second, &popularity, &[]) / best,
    })
}

fn prepare(order: &Order, members: Vec<Member>) -> Call {
    let query = Query::Order(Envelope { epoch: 1, order: order.clone() });
    Call { coordinator: 0, query, members }
}

fn reply(rank: usize, size: usize) -> Reply {
    let report = Report {
        group: "g0-1".to_string(),
        epoch: 1,
        rank,
        size,
        open: true,
        incarnation: 1_774_052_926_611,
        slowdown: 1.0,
        pass: 812,
        map: 1 << 41,
        prepared: Some((1 << 41) + 9),
        armed: None,
        held: None,
    };
    Reply { report: Some(report), ..Reply::default() }
}

fn draw_counts(random: &mut Rng, experts: usize, limit: u64) -> Vec<u64> {
    (0..experts * LAYERS).map(|_| random.u64(0..=limit)).collect()
}

/// Draws popularities in which a few experts of each layer receive most tokens.
fn draw_popularity(random: &mut Rng, experts: usize) -> Vec<Vec<f64>> {
    let mut layer = || {
        let weight = |index: usize| 1.0 / (index as f64 + 1.0).powf(0.6);
        let mut shares: Vec<f64> = (0..experts).map(weight).collect();
        random.shuffle(&mut shares);
        let sum: f64 = shares.iter().sum();
        shares.iter().map(|share| share / sum).collect()
    };
    (0..LAYERS).map(|_| layer()).collect()
}

fn encoded_size<T: Serialize>(message: &T) -> Result<usize> {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded)
        .map_err(|error| Error::system("message", error, "report this as a bug"))?;
    Ok(encoded.len())
}
