//! Simulates a data centre that leaves at short notice and returns with cold caches, under load.

use crate::plot::{self, Line};
use crate::routing::engine::{Engine, Job};
use fastrand::Rng;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_kernel::{Result, plugin};
use filberttrail_route::{Candidate, Index, Policy, Request};
use filberttrail_stand_in::requests::{self, Arrival, Shape};
use filberttrail_state::Cap;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of engines; each data centre has an equal part.
const ENGINES: usize = 15;
/// Number of data centres; the last one leaves and returns.
const DATA_CENTRES: usize = 3;
/// When the data centre leaves and when it returns, in seconds.
const LEAVE_TIME: f64 = 30.0;
const RETURN_TIME: f64 = 60.0;
/// Delay until all entries stop sending to the data centre, in seconds.
const PROPAGATION_DELAY: f64 = 0.5;
/// Simulated time, in seconds.
const SIMULATED_TIME: f64 = 110.0;
/// Arrival rate, in requests per second.
const REQUEST_RATE: f64 = 110.0;
/// Concurrent requests that a cold engine can run.
const COLD_CAPACITY: u32 = 4;
/// Concurrent requests that a warm engine can run.
const WARM_CAPACITY: u32 = 48;
/// How long an engine stalls after a request above its capacity, in seconds.
const OVERLOAD_STALL: f64 = 2.0;
/// Limit for the time to first token, in seconds; later tokens miss the target.
const FIRST_TOKEN_LIMIT: f64 = 1.0;
/// How long a request waits in the queue before it is refused, in seconds.
const MAX_QUEUE_WAIT: f64 = 2.0;

/// The service during one interval of ten seconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Whether the load of returned engines is ramped up gradually.
    pub ramp: bool,
    /// The start of the interval, in seconds.
    pub from: u64,
    /// Requests that arrived in the interval.
    pub requests: u64,
    /// Percentage of these requests whose first token arrived within the limit.
    pub in_time_percent: f64,
    /// Percentage of these requests that were refused.
    pub refused_percent: f64,
    /// The longest gap between two tokens of one response to these requests, in seconds.
    pub worst_gap: f64,
}

/// The result of the comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed of the simulation.
    pub seed: u64,
    /// One row for each interval, first without and then with the ramp.
    pub rows: Vec<Row>,
    /// Requests sent to engines above their capacity, without the ramp.
    pub naive_overloads: u64,
    /// Requests sent to engines above their capacity, with the ramp; the target is 0.
    pub overloads: u64,
    /// Time after its return until the data centre serves its share of the requests, in seconds.
    pub even_again: f64,
    /// Whether the target is met: no overloads with the ramp.
    pub met: bool,
}

/// Compares the ramp with sending returned engines their full load at once.
pub fn compare(seed: u64) -> Result<Outcome> {
    let unramped = Simulation::new(seed, false)?.run();
    let ramped = Simulation::new(seed, true)?.run();
    let mut rows = unramped.build_rows();
    rows.extend(ramped.build_rows());
    let met = ramped.overloads == 0;
    Ok(Outcome {
        seed,
        rows,
        naive_overloads: unramped.overloads,
        overloads: ramped.overloads,
        even_again: ramped.find_time_until_even(),
        met,
    })
}

/// An engine and what the simulation tracks for it. `cap` is the limit that the entries apply, and
/// `capacity` what the engine can really run.
struct Upstream {
    engine: Engine,
    cap: Cap,
    capacity: u32,
    id: u64,
    started: Vec<f64>,
}

/// What the caller of one request measured; times are in seconds.
struct Response {
    arrived_at: f64,
    time_to_first_token: Option<f64>,
    longest_gap: f64,
    refused: bool,
}

/// A discrete-event simulation of one entry, the engines and the requests of a generated trace.
struct Simulation {
    ramp: bool,
    policy: &'static Policy,
    upstreams: Vec<Upstream>,
    index: Index,
    random: Rng,
    arrivals: Vec<Arrival>,
    waiting: VecDeque<usize>,
    responses: Vec<Response>,
    overloads: u64,
}

impl Simulation {
    fn new(seed: u64, ramp: bool) -> Result<Self> {
        let requests = (SIMULATED_TIME * REQUEST_RATE) as usize;
        let shape = Shape { requests, rate: REQUEST_RATE, entries: 1, ..Shape::default() };
        let arrivals = requests::generate("departure", seed, shape).arrivals;
        let responses = arrivals.iter().map(|arrival| Response {
            arrived_at: arrival.at as f64 / 1e6,
            time_to_first_token: None,
            longest_gap: 0.0,
            refused: false,
        });
        let new_upstream = |index: usize| Upstream {
            engine: Engine::default(),
            cap: build_warm_cap(),
            capacity: WARM_CAPACITY,
            id: stable_hash(format!("engine-{index:02}").as_bytes()),
            started: Vec::new(),
        };
        Ok(Self {
            ramp,
            policy: plugin::find("expected-wait")?,
            upstreams: (0..ENGINES).map(new_upstream).collect(),
            index: Index::new(),
            random: Rng::with_seed(seed),
            responses: responses.collect(),
            arrivals,
            waiting: VecDeque::new(),
            overloads: 0,
        })
    }

    fn run(mut self) -> Self {
        let mut returned = false;
        for number in 0..self.arrivals.len() {
            let now = self.responses[number].arrived_at;
            self.run_until(now);
            if now >= RETURN_TIME && !returned {
                returned = true;
                self.restart_cold();
            }
            self.waiting.push_back(number);
            self.start_waiting(now);
        }
        self.run_until(SIMULATED_TIME + 30.0);
        self
    }

    /// Restarts the engines of the data centre with empty caches and the capacity of cold engines.
    fn restart_cold(&mut self) {
        for upstream in self.upstreams.iter_mut().skip(first_leaving_index()) {
            upstream.engine = Engine::default();
            upstream.engine.busy_until = RETURN_TIME;
            upstream.capacity = COLD_CAPACITY;
            upstream.cap = Cap::new(COLD_CAPACITY, WARM_CAPACITY);
            self.index.remove_upstream(upstream.id);
        }
    }

    fn run_until(&mut self, time: f64) {
        for upstream in &mut self.upstreams {
            while upstream.engine.in_flight() > 0 && upstream.engine.busy_until < time {
                let now = upstream.engine.busy_until;
                for job in upstream.engine.step(now) {
                    upstream.capacity = (upstream.capacity + 1).min(WARM_CAPACITY);
                    upstream.cap.finish(true, Duration::from_secs_f64(now));
                    self.responses[job.index].time_to_first_token = job.time_to_first_token;
                    self.responses[job.index].longest_gap = job.longest_gap;
                }
                upstream.cap.record_token(Duration::ZERO, Duration::from_secs_f64(now));
            }
        }
    }

    fn start_waiting(&mut self, now: f64) {
        while let Some(number) = self.waiting.front().copied() {
            if now - self.responses[number].arrived_at > MAX_QUEUE_WAIT {
                self.responses[number].refused = true;
                self.waiting.pop_front();
                continue;
            }
            if !self.try_start(number, now) {
                return;
            }
            self.waiting.pop_front();
        }
    }

    fn try_start(&mut self, number: usize, now: f64) -> bool {
        let arrival = self.arrivals[number];
        let clock = Duration::from_secs_f64(now);
        let is_out = (LEAVE_TIME + PROPAGATION_DELAY..RETURN_TIME).contains(&now);
        let available = if is_out { first_leaving_index() } else { ENGINES };
        let prefixes: Vec<u64> = (0..u64::from(arrival.shared / 32))
            .map(|block| filberttrail_kernel::digest::mix(u64::from(arrival.prefix), block))
            .collect();
        let candidates: Vec<Candidate> = self.upstreams[..available]
            .iter()
            .map(|upstream| Candidate {
                id: upstream.id,
                reported_load: upstream.engine.in_flight(),
                sent_since_report: 0,
                concurrency_limit: if self.ramp { upstream.cap.limit() } else { WARM_CAPACITY },
                step_time: Duration::from_millis(15),
                round_trip: Duration::from_micros(500),
                cached_tokens: self.index.estimate_cached_tokens(&prefixes, upstream.id, clock),
            })
            .collect();
        let prompt = u64::from(arrival.shared + arrival.own);
        let request =
            Request { sequence: number as u64, prompt_tokens: prompt, prefixes: prefixes.clone() };
        let Some(choice) = self.policy.choose(&request, &candidates, &mut self.random) else {
            return false;
        };
        let upstream = &mut self.upstreams[choice.index];
        if !upstream.cap.admit(clock) && self.ramp {
            return false;
        }
        self.index.record(&prefixes, upstream.id, clock);
        if upstream.engine.in_flight() >= upstream.capacity {
            self.overloads += 1;
            upstream.engine.busy_until = upstream.engine.busy_until.max(now) + OVERLOAD_STALL;
        }
        let cached = upstream.engine.look_up(arrival.prefix, arrival.shared);
        if upstream.engine.in_flight() == 0 {
            upstream.engine.busy_until = upstream.engine.busy_until.max(now);
        }
        upstream.started.push(now);
        upstream.engine.waiting.push_back(Job {
            index: number,
            prompt_left: arrival.shared + arrival.own - cached,
            output_left: arrival.answer,
            last_token_at: now,
            arrived_at: self.responses[number].arrived_at,
            time_to_first_token: None,
            longest_gap: 0.0,
        });
        true
    }

    fn build_rows(&self) -> Vec<Row> {
        let intervals = (SIMULATED_TIME / 10.0) as u64;
        (0..intervals).map(|interval| self.build_row(interval * 10)).collect()
    }

    fn build_row(&self, from: u64) -> Row {
        let within =
            |response: &&Response| (from..from + 10).contains(&(response.arrived_at as u64));
        let all: Vec<&Response> = self.responses.iter().filter(within).collect();
        let percent = |count: usize| 100.0 * count as f64 / all.len().max(1) as f64;
        let in_time = |response: &&&Response| {
            response.time_to_first_token.is_some_and(|time| time <= FIRST_TOKEN_LIMIT)
        };
        Row {
            ramp: self.ramp,
            from,
            requests: all.len() as u64,
            in_time_percent: percent(all.iter().filter(in_time).count()),
            refused_percent: percent(all.iter().filter(|response| response.refused).count()),
            worst_gap: all.iter().map(|response| response.longest_gap).fold(0.0, f64::max),
        }
    }

    /// Returns the time from the return to the first second in which the data centre starts at
    /// least four fifths of its share of the requests; infinity if there is none.
    fn find_time_until_even(&self) -> f64 {
        let count_started = |upstreams: &[Upstream], second: u64| {
            let within = |at: &&f64| **at as u64 == second;
            upstreams
                .iter()
                .map(|upstream| upstream.started.iter().filter(within).count())
                .sum::<usize>()
        };
        let share = 1.0 / DATA_CENTRES as f64;
        let is_even = |second: &u64| {
            let all = count_started(&self.upstreams, *second);
            let returned = count_started(&self.upstreams[first_leaving_index()..], *second);
            returned as f64 >= 0.8 * share * all as f64
        };
        let first = (RETURN_TIME as u64..SIMULATED_TIME as u64).find(is_even);
        first.map_or(f64::INFINITY, |second| second as f64 - RETURN_TIME)
    }
}

fn build_warm_cap() -> Cap {
    let mut cap = Cap::new(COLD_CAPACITY, WARM_CAPACITY);
    for _ in 0..WARM_CAPACITY {
        cap.admit(Duration::ZERO);
        cap.finish(true, Duration::ZERO);
    }
    cap
}

fn first_leaving_index() -> usize {
    ENGINES - ENGINES / DATA_CENTRES
}

impl Outcome {
    /// Draws the percentage of first tokens in time for each interval of ten seconds.
    pub fn draw(&self, file: &str) -> Result<()> {
        let line = |ramp: bool, name: &str| {
            let rows = self.rows.iter().filter(|row| row.ramp == ramp);
            Line::new(name, rows.map(|row| row.in_time_percent))
        };
        let lines = [line(false, "no ramp"), line(true, "ramp")];
        plot::draw(file, "First tokens in time", "interval of ten seconds", "percent", &lines)
    }
}
