//! Replays a trace through several entries that do not see the requests of the other entries.

use super::engine::{Engine, Job, MAX_BATCH};
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
const REPORT_INTERVAL: f64 = 0.1;
/// Tokens of a prefix that one hash covers.
const BLOCK: u32 = filberttrail_route::prefix::BLOCK_WORDS as u32;

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

/// What one entry knows: the latest load reports and the requests that it sent since then.
struct Entry {
    index: Index,
    random: Rng,
    reported_loads: Vec<u32>,
    reported_at: f64,
    sent_since_report: Vec<u32>,
    open_requests: HashMap<usize, usize>,
}

/// Replays a trace at a multiple of its request rate with a policy. Returns an error if the policy
/// is unknown.
pub fn replay_trace(name: &str, trace: &Trace, rate_factor: f64, seed: u64) -> Result<Row> {
    let policy = plugin::find::<Policy>(name)?;
    let mut replay = Replay::new(trace, seed);
    for (number, arrival) in trace.arrivals.iter().enumerate() {
        let now = arrival.at as f64 / 1e6 / rate_factor;
        replay.run_until(now);
        replay.arrive(policy, number, arrival, now);
    }
    replay.run_until(f64::INFINITY);
    Ok(replay.into_row(name, trace, rate_factor))
}

/// The state of a replay: engines, entries and the counted prompt tokens.
struct Replay {
    engines: Vec<Engine>,
    ids: Vec<u64>,
    entries: Vec<Entry>,
    completed: Vec<Job>,
    seen_prefixes: HashSet<u32>,
    hit_tokens: u64,
    reusable_tokens: u64,
}

impl Replay {
    fn new(trace: &Trace, seed: u64) -> Self {
        let entries = trace.arrivals.iter().map(|arrival| arrival.entry).max().unwrap_or(0) + 1;
        let entry = |number: u32| Entry {
            index: Index::new(),
            random: Rng::with_seed(seed + u64::from(number)),
            reported_loads: vec![0; ENGINES],
            reported_at: 0.0,
            sent_since_report: vec![0; ENGINES],
            open_requests: HashMap::new(),
        };
        let id = |index: usize| stable_hash(format!("engine-{index:02}").as_bytes());
        Self {
            engines: vec![Engine::default(); ENGINES],
            ids: (0..ENGINES).map(id).collect(),
            entries: (0..entries).map(entry).collect(),
            completed: Vec::new(),
            seen_prefixes: HashSet::new(),
            hit_tokens: 0,
            reusable_tokens: 0,
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
                        if let Some(engine_index) = entry.open_requests.remove(&job.index) {
                            entry.sent_since_report[engine_index] =
                                entry.sent_since_report[engine_index].saturating_sub(1);
                        }
                    }
                }
                self.completed.extend(ended);
            }
        }
    }

    fn arrive(&mut self, policy: &Policy, number: usize, arrival: &Arrival, now: f64) {
        let loads: Vec<u32> = self.engines.iter().map(Engine::in_flight).collect();
        let entry = &mut self.entries[arrival.entry as usize];
        if now - entry.reported_at >= REPORT_INTERVAL {
            entry.reported_loads = loads;
            entry.reported_at = now;
            entry.sent_since_report = vec![0; ENGINES];
            entry.open_requests.clear();
        }
        let prefixes = hash_prefixes(arrival);
        let clock = Duration::from_secs_f64(now);
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|engine_index| Candidate {
                id: self.ids[engine_index],
                reported_load: entry.reported_loads[engine_index],
                sent_since_report: entry.sent_since_report[engine_index],
                concurrency_limit: 4 * MAX_BATCH as u32,
                step_time: Duration::from_millis(15),
                round_trip: Duration::from_micros(500),
                cached_tokens: entry.index.estimate_cached_tokens(
                    &prefixes,
                    self.ids[engine_index],
                    clock,
                ),
            })
            .collect();
        let prompt = u64::from(arrival.shared + arrival.own);
        let request =
            Request { sequence: number as u64, prompt_tokens: prompt, prefixes: prefixes.clone() };
        let chosen = policy.choose(&request, &candidates, &mut entry.random);
        // If no engine has capacity, the first one gets the request, and its queue grows.
        let engine_index = chosen.map_or(0, |choice| choice.index);
        entry.index.record(&prefixes, self.ids[engine_index], clock);
        entry.sent_since_report[engine_index] += 1;
        entry.open_requests.insert(number, engine_index);
        self.start_request(engine_index, number, arrival, now);
    }

    fn start_request(&mut self, engine_index: usize, number: usize, arrival: &Arrival, now: f64) {
        let engine = &mut self.engines[engine_index];
        let cached = engine.look_up(arrival.prefix, arrival.shared);
        self.hit_tokens += u64::from(cached);
        if !self.seen_prefixes.insert(arrival.prefix) {
            self.reusable_tokens += u64::from(arrival.shared);
        }
        if engine.in_flight() == 0 {
            engine.busy_until = engine.busy_until.max(now);
        }
        engine.waiting.push_back(Job {
            index: number,
            prompt_left: arrival.shared + arrival.own - cached,
            output_left: arrival.answer,
            last_token_at: now,
            arrived_at: now,
            time_to_first_token: None,
            longest_gap: 0.0,
        });
    }

    fn into_row(self, name: &str, trace: &Trace, rate_factor: f64) -> Row {
        let first_token_times =
            self.completed.iter().filter_map(|job| job.time_to_first_token).collect();
        let gaps = self.completed.iter().map(|job| job.longest_gap).collect();
        let first_token_times = sort_values(first_token_times);
        let work: Vec<f64> = self.engines.iter().map(|engine| engine.work).collect();
        let mean = work.iter().sum::<f64>() / work.len() as f64;
        Row {
            policy: name.to_string(),
            trace: trace.name.clone(),
            pace: rate_factor,
            first_p95: compute_quantile(&first_token_times, 0.95),
            first_p50: compute_quantile(&first_token_times, 0.5),
            gap_p95: compute_quantile(&sort_values(gaps), 0.95),
            hits: self.hit_tokens as f64 / self.reusable_tokens.max(1) as f64,
            evenness: work.iter().copied().fold(0.0, f64::max) / mean,
        }
    }
}

/// Returns the hashes of the prefixes of a prompt, block by block.
fn hash_prefixes(arrival: &Arrival) -> Vec<u64> {
    let blocks = arrival.shared / BLOCK;
    let hash = |block: u32| {
        let text = format!("{} {block}", arrival.prefix);
        stable_hash(text.as_bytes())
    };
    (0..blocks.min(filberttrail_route::prefix::MAX_BLOCKS as u32)).map(hash).collect()
}

fn sort_values(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn compute_quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * fraction) as usize).copied().unwrap_or_default()
}
