//! Simulates how one team's overload affects another team, with shares and with one common queue.

use crate::plot::{self, Line};
use fastrand::Rng;
use filberttrail_kernel::Result;
use filberttrail_limit::shares::{Bounds, Ticket};
use filberttrail_limit::{Decision, Shares};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Target: the quiet team's 95th percentile latency with the loud team, divided by that without it.
pub const RATIO_TARGET: f64 = 1.1;
/// Concurrent requests at the entry.
const CAPACITY: u32 = 64;
/// Mean service time of a request, in microseconds.
const MEAN_SERVICE_US: f64 = 100_000.0;
/// The quiet team's load, as a multiple of its share.
const QUIET_LOAD: f64 = 0.5;
/// The loud team's load, as a multiple of its share.
const LOUD_LOAD: f64 = 10.0;
/// Simulated time, in microseconds.
const SIMULATED_US: u64 = 120_000_000;
/// Number of teams in the largest deployment.
const TEAMS: usize = 5_500;

/// What one simulation measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The admission policy: `shares` or `common queue`.
    pub limiter: String,
    /// Whether the loud team sent requests.
    pub loud_team: bool,
    /// The quiet team's 95th percentile latency, from arrival to end, in milliseconds.
    pub quiet_p95_ms: f64,
    /// Percentage of the quiet team's requests that were refused.
    pub quiet_refused_percent: f64,
    /// Percentage of the loud team's requests that were refused.
    pub loud_refused_percent: f64,
    /// Mean part of the capacity that was in use, 0 to 1.
    pub utilisation: f64,
}

/// The result of the comparison.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The seed of the simulations.
    pub seed: u64,
    /// Each limiter, first without and then with the loud team.
    pub rows: Vec<Row>,
    /// The quiet team's 95th percentile latency with the loud team divided by that without it, with
    /// shares.
    pub shares_ratio: f64,
    /// The same ratio with one common queue.
    pub queue_ratio: f64,
    /// Mean time of an arrival and a departure with 5,500 active teams, in nanoseconds.
    pub decision_ns: u64,
    /// Whether the target is met: the ratio with shares, and at most 0.1 percent of the quiet
    /// team's requests refused.
    pub met: bool,
}

/// Compares shares with a common queue.
pub fn compare(seed: u64) -> Result<Outcome> {
    let rows: Vec<Row> = [(false, false), (false, true), (true, false), (true, true)]
        .map(|(shares, loud)| Simulation::new(seed, shares).run(loud))
        .to_vec();
    let queue_ratio = rows[1].quiet_p95_ms / rows[0].quiet_p95_ms;
    let shares_ratio = rows[3].quiet_p95_ms / rows[2].quiet_p95_ms;
    let met = shares_ratio <= RATIO_TARGET && rows[3].quiet_refused_percent <= 0.1;
    let decision_ns = measure_decision();
    Ok(Outcome { seed, rows, shares_ratio, queue_ratio, decision_ns, met })
}

fn build_bounds() -> Bounds {
    Bounds { capacity: CAPACITY, queue: 128, wait: Duration::from_secs(2) }
}

/// Returns the mean time of an arrival and a departure while all teams are active, in nanoseconds.
fn measure_decision() -> u64 {
    let capacity = 2 * TEAMS as u32;
    let mut shares = Shares::new(Bounds { capacity, ..build_bounds() });
    let names: Vec<String> = (0..TEAMS).map(|team| format!("team-{team:04}")).collect();
    let now = Duration::from_secs(1);
    names.iter().for_each(|name| {
        shares.submit(name, 1, now);
    });
    let started_at = Instant::now();
    for name in &names {
        shares.submit(name, 1, now);
        shares.release(name, now);
    }
    started_at.elapsed().as_nanos() as u64 / names.len() as u64
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { loud: bool },
    End { loud: bool, arrived: u64 },
}

/// A discrete-event simulation of one entry with two teams. `shares` is `None` for a common queue,
/// and arrays are indexed by team: quiet, loud. Times are in microseconds.
struct Simulation {
    shares: Option<Shares>,
    random: Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    queue: VecDeque<(bool, u64)>,
    waiting: HashMap<Ticket, (bool, u64)>,
    in_flight: u32,
    busy_time: f64,
    latencies: Vec<f64>,
    arrived: [u64; 2],
    refused: [u64; 2],
}

impl Simulation {
    fn new(seed: u64, shares: bool) -> Self {
        Self {
            shares: shares.then(|| Shares::new(build_bounds())),
            random: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            queue: VecDeque::new(),
            waiting: HashMap::new(),
            in_flight: 0,
            busy_time: 0.0,
            latencies: Vec::new(),
            arrived: [0; 2],
            refused: [0; 2],
        }
    }

    fn run(mut self, loud: bool) -> Row {
        self.schedule_arrival(0, false);
        if loud {
            self.schedule_arrival(0, true);
        }
        let mut last_time = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.busy_time += f64::from(self.in_flight) * (now - last_time) as f64;
            last_time = now;
            match event {
                Event::Arrival { loud } => self.arrive(now, loud),
                Event::End { loud, arrived } => self.finish(now, loud, arrived),
            }
        }
        self.latencies.sort_by(f64::total_cmp);
        let percent =
            |team: usize| 100.0 * self.refused[team] as f64 / self.arrived[team].max(1) as f64;
        Row {
            limiter: if self.shares.is_some() { "shares" } else { "common queue" }.to_string(),
            loud_team: loud,
            quiet_p95_ms: self.latencies[(self.latencies.len() - 1) * 95 / 100] / 1e3,
            quiet_refused_percent: percent(0),
            loud_refused_percent: percent(1),
            utilisation: self.busy_time / last_time as f64 / f64::from(CAPACITY),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn sample_exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.random.f64()).ln() * mean) as u64
    }

    fn schedule_arrival(&mut self, now: u64, loud: bool) {
        let share = f64::from(CAPACITY) / 2.0;
        let load = if loud { LOUD_LOAD } else { QUIET_LOAD };
        let at = now + self.sample_exponential(MEAN_SERVICE_US / (share * load)).max(1);
        if at < SIMULATED_US {
            self.schedule(at, Event::Arrival { loud });
        }
    }

    fn arrive(&mut self, now: u64, loud: bool) {
        self.schedule_arrival(now, loud);
        self.arrived[usize::from(loud)] += 1;
        let clock = Duration::from_micros(now);
        let decision = match &mut self.shares {
            Some(shares) => shares.submit(team_name(loud), 1, clock),
            None if self.in_flight < CAPACITY => Decision::Admit,
            None if self.queue.len() < build_bounds().queue as usize => Decision::Wait(0),
            None => Decision::Refuse(Duration::from_secs(1)),
        };
        match decision {
            Decision::Admit => self.start(now, loud, now),
            Decision::Wait(0) => self.queue.push_back((loud, now)),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, (loud, now));
            }
            Decision::Refuse(_) => self.refused[usize::from(loud)] += 1,
        }
    }

    fn start(&mut self, now: u64, loud: bool, arrived: u64) {
        self.in_flight += 1;
        let ends_at = now + self.sample_exponential(MEAN_SERVICE_US);
        self.schedule(ends_at, Event::End { loud, arrived });
    }

    fn finish(&mut self, now: u64, loud: bool, arrived: u64) {
        self.in_flight -= 1;
        if !loud {
            self.latencies.push((now - arrived) as f64);
        }
        let Some(shares) = &mut self.shares else {
            if let Some((loud, arrived)) = self.queue.pop_front() {
                self.start(now, loud, arrived);
            }
            return;
        };
        for ticket in shares.release(team_name(loud), Duration::from_micros(now)) {
            if let Some((loud, arrived)) = self.waiting.remove(&ticket) {
                self.start(now, loud, arrived);
            }
        }
    }
}

fn team_name(loud: bool) -> &'static str {
    if loud { "loud" } else { "quiet" }
}

impl Outcome {
    /// Draws the quiet team's 95th percentile latency without and with the loud team.
    pub fn draw(&self, file: &str) -> Result<()> {
        let line = |name: &str| {
            let rows = self.rows.iter().filter(|row| row.limiter == name);
            Line::new(name, rows.map(|row| row.quiet_p95_ms))
        };
        let lines = [line("common queue"), line("shares")];
        plot::draw(
            file,
            "Latency of the quiet team, 95th percentile",
            "loud team (0 = without, 1 = with)",
            "milliseconds",
            &lines,
        )
    }
}
