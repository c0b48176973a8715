//! Replays a trace through several entries that do not see the requests of the other entries.

use super::engine::{BATCH, Engine, Job};
use fastrand::Rng;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_kernel::{Result, plugin};
use filberttrail_route::{Candidate, Index, Policy, Request};
use filberttrail_stand_in::requests::{Arrival, Trace};
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Number of engines.
const ENGINES: usize = 16;
/// Interval between two load reports, in seconds.
const REPORT_PERIOD: f64 = 0.1;
/// Tokens of a prefix that one hash covers.
const BLOCK: u32 = filberttrail_route::prefix::BLOCK as u32;

/// What one policy achieved on one trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The name of the routing policy.
    pub policy: String,
    /// The name of the trace.
    pub trace: String,
    /// The request rate, as a multiple of the trace's own.
    pub pace: f64,
    /// 95th percentile of the time to first token, in seconds.
    pub first_p95: f64,
    /// Median of the time to first token, in seconds.
    pub first_p50: f64,
    /// 95th percentile of the longest token gap of each response, in seconds.
    pub gap_p95: f64,
    /// Prompt tokens found in caches, divided by those that an unlimited shared cache would have.
    pub hits: f64,
    /// The work of the busiest engine, divided by the mean.
    pub evenness: f64,
}

struct Entry {
    index: Index,
    random: Rng,
    reported: Vec<u32>,
    reported_at: f64,
    sent: Vec<u32>,
    open: HashMap<usize, usize>,
}

/// Replays a trace at a multiple of its request rate with a policy. Returns an error if the policy
/// is unknown.
pub fn replay_trace(name: &str, trace: &Trace, pace: f64, seed: u64) -> Result<Row> {
    let policy = plugin::find::<Policy>(name)?;
    let mut replay = Replay::new(trace, seed);
    for (number, arrival) in trace.arrivals.iter().enumerate() {
        let now = arrival.at as f64 / 1e6 / pace;
        replay.run_until(now);
        replay.arrive(policy, number, arrival, now);
    }
    replay.run_until(f64::INFINITY);
    Ok(replay.row(name, trace, pace))
}

struct Replay {
    engines: Vec<Engine>,
    ids: Vec<u64>,
    entries: Vec<Entry>,
    done: Vec<Job>,
    seen: HashSet<u32>,
    hit: u64,
    possible: u64,
}

impl Replay {
    fn new(trace: &Trace, seed: u64) -> Self {
        let entries = trace.arrivals.iter().map(|arrival| arrival.entry).max().unwrap_or(0) + 1;
        let entry = |number: u32| Entry {
            index: Index::new(),
            random: Rng::with_seed(seed + u64::from(number)),
            reported: vec![0; ENGINES],
            reported_at: 0.0,
            sent: vec![0; ENGINES],
            open: HashMap::new(),
        };
        let id = |index: usize| stable_hash(format!("engine-{index:02}").as_bytes());
        Self {
            engines: vec![Engine::default(); ENGINES],
            ids: (0..ENGINES).map(id).collect(),
            entries: (0..entries).map(entry).collect(),
            done: Vec::new(),
            seen: HashSet::new(),
            hit: 0,
            possible: 0,
        }
    }

    /// Runs the steps of all engines up to a time.
    fn run_until(&mut self, time: f64) {
        for engine in &mut self.engines {
            while engine.in_flight() > 0 && engine.busy_until < time {
                let now = engine.busy_until;
                let ended = engine.step(now);
                for job in &ended {
                    for entry in &mut self.entries {
                        if let Some(place) = entry.open.remove(&job.index) {
                            entry.sent[place] = entry.sent[place].saturating_sub(1);
                        }
                    }
                }
                self.done.extend(ended);
            }
        }
    }

    fn arrive(&mut self, policy: &Policy, number: usize, arrival: &Arrival, now: f64) {
        let loads: Vec<u32> = self.engines.iter().map(Engine::in_flight).collect();
        let entry = &mut self.entries[arrival.entry as usize];
        if now - entry.reported_at >= REPORT_PERIOD {
            entry.reported = loads;
            entry.reported_at = now;
            entry.sent = vec![0; ENGINES];
            entry.open.clear();
        }
        let prefixes = chain(arrival);
        let clock = Duration::from_secs_f64(now);
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|place| Candidate {
                id: self.ids[place],
                reported: entry.reported[place],
                sent: entry.sent[place],
                limit: 4 * BATCH as u32,
                step: Duration::from_millis(15),
                distance: Duration::from_micros(500),
                cached: entry.index.cached(&prefixes, self.ids[place], clock),
            })
            .collect();
        let prompt = u64::from(arrival.shared + arrival.own);
        let request = Request { number: number as u64, prompt, prefixes: prefixes.clone() };
        let chosen = policy.choose(&request, &candidates, &mut entry.random);
        // If no engine has capacity, the first one gets the request, and its queue grows.
        let place = chosen.map_or(0, |choice| choice.index);
        entry.index.note(&prefixes, self.ids[place], clock);
        entry.sent[place] += 1;
        entry.open.insert(number, place);
        self.start(place, number, arrival, now);
    }

    fn start(&mut self, place: usize, number: usize, arrival: &Arrival, now: f64) {
        let engine = &mut self.engines[place];
        let cached = engine.look_up(arrival.prefix, arrival.shared);
        self.hit += u64::from(cached);
        if !self.seen.insert(arrival.prefix) {
            self.possible += u64::from(arrival.shared);
        }
        if engine.in_flight() == 0 {
            engine.busy_until = engine.busy_until.max(now);
        }
        engine.waiting.push_back(Job {
            index: number,
            prompt: arrival.shared + arrival.own - cached,
            answer: arrival.answer,
            last: now,
            arrived: now,
            first: None,
            gap: 0.0,
        });
    }

    fn row(self, name: &str, trace: &Trace, pace: f64) -> Row {
        let firsts = self.done.iter().filter_map(|job| job.first).collect();
        let gaps = self.done.iter().map(|job| job.gap).collect();
        let firsts = sorted(firsts);
        let work: Vec<f64> = self.engines.iter().map(|engine| engine.work).collect();
        let mean = work.iter().sum::<f64>() / work.len() as f64;
        Row {
            policy: name.to_string(),
            trace: trace.name.clone(),
            pace,
            first_p95: quantile(&firsts, 0.95),
            first_p50: quantile(&firsts, 0.5),
            gap_p95: quantile(&sorted(gaps), 0.95),
            hits: self.hit as f64 / self.possible.max(1) as f64,
            evenness: work.iter().copied().fold(0.0, f64::max) / mean,
        }
    }
}

/// Returns the hashes of the prefixes of a prompt, block by block.
fn chain(arrival: &Arrival) -> Vec<u64> {
    let blocks = arrival.shared / BLOCK;
    let hash = |block: u32| {
        let text = format!("{} {block}", arrival.prefix);
        stable_hash(text.as_bytes())
    };
    (0..blocks.min(filberttrail_route::prefix::BLOCKS as u32)).map(hash).collect()
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part) as usize).copied().unwrap_or_default()
}
