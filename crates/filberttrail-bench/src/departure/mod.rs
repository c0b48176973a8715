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
const LEAVES: f64 = 30.0;
const RETURNS: f64 = 60.0;
/// Delay until all entries stop sending to the data centre, in seconds.
const HEARD: f64 = 0.5;
/// Simulated time, in seconds.
const LENGTH: f64 = 110.0;
/// Arrival rate, in requests per second.
const PACE: f64 = 110.0;
/// Concurrent requests that a cold engine can run.
const COLD: u32 = 4;
/// Concurrent requests that a warm engine can run.
const WARM: u32 = 48;
/// How long an engine stalls after a request above its capacity, in seconds.
const COLLAPSE: f64 = 2.0;
/// Limit for the time to first token, in seconds; later tokens miss the target.
const FIRST_TOKEN: f64 = 1.0;
/// How long a request waits in the queue before it is refused, in seconds.
const QUEUE_WAIT: f64 = 2.0;

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
    let naive = Play::new(seed, false)?.run();
    let ours = Play::new(seed, true)?.run();
    let mut rows = naive.rows();
    rows.extend(ours.rows());
    let met = ours.overloads == 0;
    Ok(Outcome {
        seed,
        rows,
        naive_overloads: naive.overloads,
        overloads: ours.overloads,
        even_again: ours.even_again(),
        met,
    })
}

struct Place {
    engine: Engine,
    cap: Cap,
    bearable: u32,
    id: u64,
    begun: Vec<f64>,
}

struct Told {
    arrived: f64,
    first: Option<f64>,
    gap: f64,
    refused: bool,
}

struct Play {
    ramp: bool,
    policy: &'static Policy,
    places: Vec<Place>,
    index: Index,
    random: Rng,
    arrivals: Vec<Arrival>,
    waiting: VecDeque<usize>,
    told: Vec<Told>,
    overloads: u64,
}

impl Play {
    fn new(seed: u64, ramp: bool) -> Result<Self> {
        let requests = (LENGTH * PACE) as usize;
        let shape = Shape { requests, rate: PACE, entries: 1, ..Shape::default() };
        let arrivals = requests::generate("departure", seed, shape).arrivals;
        let told = arrivals.iter().map(|arrival| Told {
            arrived: arrival.at as f64 / 1e6,
            first: None,
            gap: 0.0,
            refused: false,
        });
        let place = |index: usize| Place {
            engine: Engine::default(),
            cap: warm_cap(),
            bearable: WARM,
            id: stable_hash(format!("engine-{index:02}").as_bytes()),
            begun: Vec::new(),
        };
        Ok(Self {
            ramp,
            policy: plugin::find("expected-wait")?,
            places: (0..ENGINES).map(place).collect(),
            index: Index::new(),
            random: Rng::with_seed(seed),
            told: told.collect(),
            arrivals,
            waiting: VecDeque::new(),
            overloads: 0,
        })
    }

    fn run(mut self) -> Self {
        let mut returned = false;
        for number in 0..self.arrivals.len() {
            let now = self.told[number].arrived;
            self.step_until(now);
            if now >= RETURNS && !returned {
                returned = true;
                self.return_cold();
            }
            self.waiting.push_back(number);
            self.serve_waiting(now);
        }
        self.step_until(LENGTH + 30.0);
        self
    }

    /// Restarts the engines of the data centre with empty caches and the capacity of cold engines.
    fn return_cold(&mut self) {
        for place in self.places.iter_mut().skip(first_leaving()) {
            place.engine = Engine::default();
            place.engine.busy_until = RETURNS;
            place.bearable = COLD;
            place.cap = Cap::new(COLD, WARM);
            self.index.forget(place.id);
        }
    }

    fn step_until(&mut self, time: f64) {
        for place in &mut self.places {
            while place.engine.in_flight() > 0 && place.engine.busy_until < time {
                let now = place.engine.busy_until;
                for job in place.engine.step(now) {
                    place.bearable = (place.bearable + 1).min(WARM);
                    place.cap.finish(true, Duration::from_secs_f64(now));
                    self.told[job.index].first = job.first;
                    self.told[job.index].gap = job.gap;
                }
                place.cap.token(Duration::ZERO, Duration::from_secs_f64(now));
            }
        }
    }

    fn serve_waiting(&mut self, now: f64) {
        while let Some(number) = self.waiting.front().copied() {
            if now - self.told[number].arrived > QUEUE_WAIT {
                self.told[number].refused = true;
                self.waiting.pop_front();
                continue;
            }
            if !self.start(number, now) {
                return;
            }
            self.waiting.pop_front();
        }
    }

    fn start(&mut self, number: usize, now: f64) -> bool {
        let arrival = self.arrivals[number];
        let clock = Duration::from_secs_f64(now);
        let out = (LEAVES + HEARD..RETURNS).contains(&now);
        let open = if out { first_leaving() } else { ENGINES };
        let prefixes: Vec<u64> = (0..u64::from(arrival.shared / 32))
            .map(|block| filberttrail_kernel::digest::mix(u64::from(arrival.prefix), block))
            .collect();
        let candidates: Vec<Candidate> = self.places[..open]
            .iter()
            .map(|place| Candidate {
                id: place.id,
                reported: place.engine.in_flight(),
                sent: 0,
                limit: if self.ramp { place.cap.limit() } else { WARM },
                step: Duration::from_millis(15),
                distance: Duration::from_micros(500),
                cached: self.index.cached(&prefixes, place.id, clock),
            })
            .collect();
        let prompt = u64::from(arrival.shared + arrival.own);
        let request = Request { number: number as u64, prompt, prefixes: prefixes.clone() };
        let Some(choice) = self.policy.choose(&request, &candidates, &mut self.random) else {
            return false;
        };
        let place = &mut self.places[choice.index];
        if !place.cap.admit(clock) && self.ramp {
            return false;
        }
        self.index.note(&prefixes, place.id, clock);
        if place.engine.in_flight() >= place.bearable {
            self.overloads += 1;
            place.engine.busy_until = place.engine.busy_until.max(now) + COLLAPSE;
        }
        let cached = place.engine.look_up(arrival.prefix, arrival.shared);
        if place.engine.in_flight() == 0 {
            place.engine.busy_until = place.engine.busy_until.max(now);
        }
        place.begun.push(now);
        place.engine.waiting.push_back(Job {
            index: number,
            prompt: arrival.shared + arrival.own - cached,
            answer: arrival.answer,
            last: now,
            arrived: self.told[number].arrived,
            first: None,
            gap: 0.0,
        });
        true
    }

    fn rows(&self) -> Vec<Row> {
        let tens = (LENGTH / 10.0) as u64;
        (0..tens).map(|ten| self.row(ten * 10)).collect()
    }

    fn row(&self, from: u64) -> Row {
        let within = |told: &&Told| (from..from + 10).contains(&(told.arrived as u64));
        let all: Vec<&Told> = self.told.iter().filter(within).collect();
        let percent = |count: usize| 100.0 * count as f64 / all.len().max(1) as f64;
        let in_time = |told: &&&Told| told.first.is_some_and(|first| first <= FIRST_TOKEN);
        Row {
            ramp: self.ramp,
            from,
            requests: all.len() as u64,
            in_time_percent: percent(all.iter().filter(in_time).count()),
            refused_percent: percent(all.iter().filter(|told| told.refused).count()),
            worst_gap: all.iter().map(|told| told.gap).fold(0.0, f64::max),
        }
    }

    /// Returns the time from the return to the first second in which the data centre starts at
    /// least four fifths of its share of the requests; infinity if there is none.
    fn even_again(&self) -> f64 {
        let begun = |places: &[Place], second: u64| {
            let within = |at: &&f64| **at as u64 == second;
            places.iter().map(|place| place.begun.iter().filter(within).count()).sum::<usize>()
        };
        let part = 1.0 / DATA_CENTRES as f64;
        let even = |second: &u64| {
            let all = begun(&self.places, *second);
            let back = begun(&self.places[first_leaving()..], *second);
            back as f64 >= 0.8 * part * all as f64
        };
        let first = (RETURNS as u64..LENGTH as u64).find(even);
        first.map_or(f64::INFINITY, |second| second as f64 - RETURNS)
    }
}

fn warm_cap() -> Cap {
    let mut cap = Cap::new(COLD, WARM);
    for _ in 0..WARM {
        cap.admit(Duration::ZERO);
        cap.finish(true, Duration::ZERO);
    }
    cap
}

fn first_leaving() -> usize {
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
        plot::draw(file, "First tokens in time", "ten seconds", "of each hundred", &lines)
    }
}
