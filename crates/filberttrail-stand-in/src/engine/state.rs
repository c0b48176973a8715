//! What the stand-in engine keeps.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Requests in flight that it bears when cold.
    pub cold_limit: u32,
    /// Requests in flight that it bears when warm.
    pub warm_limit: u32,
    /// Time of a step.
    pub step: Duration,
    /// Prompt words that it computes in one step.
    pub prefill: u64,
    /// Requests that get tokens at once; the others wait, the highest priority first.
    pub batch: usize,
    /// Whether it refuses an order with an old fence.
    pub checks_fences: bool,
    /// Its rank; rank 0 leads the group's steps.
    pub rank: u32,
    /// Whether it runs steps on the map it was sent last, whatever the leader says: the naive way.
    pub uses_newest_map: bool,
    /// The engines of the other ranks, for rank 0.
    pub peers: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_limit: 4,
            warm_limit: 32,
            step: Duration::from_millis(10),
            prefill: 512,
            batch: 64,
            checks_fences: true,
            rank: 0,
            uses_newest_map: false,
            peers: Vec::new(),
        }
    }
}

/// What is counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Requests that came while as many were in flight as it bears.
    pub overloads: u64,
    /// The most requests in flight.
    pub peak: u32,
    /// Requests begun.
    pub begun: u64,
    /// Answers finished whole.
    pub finished: u64,
    /// Steps held because a rank had not staged the map.
    pub held: u64,
    /// Orders refused for an old fence.
    pub old_orders: u64,
}

/// One step of a rank: its number and the map version that it ran on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The leader's life.
    pub leader: u64,
    /// Counts the leader's steps.
    pub number: u64,
    /// The version of the expert map.
    pub version: u64,
}

/// What became of a cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Counts the events; a gap in the numbers is an event that was lost.
    pub number: u64,
    /// `added` or `evicted`.
    pub kind: String,
    /// The prompt's hash.
    pub prefix: u64,
}

/// A request's place among those that wait: priority first, then the order of arrival.
pub(super) type Ticket = (Reverse<u32>, u64);

/// Events remembered.
const EVENTS_KEPT: usize = 256;
/// How late an event is told.
const EVENT_LAG: Duration = Duration::from_millis(500);
/// Every so many events one is lost.
const EVENT_LOSS: u64 = 7;
/// Steps remembered.
pub(super) const STEPS_KEPT: usize = 4_096;
/// Prompts whose prefix is cached.
const PREFIXES_KEPT: usize = 64;
/// How old a load report is.
const REPORT_LAG: Duration = Duration::from_millis(500);

pub(super) struct State {
    pub counts: Counts,
    pub incarnation: u64,
    pub in_flight: u32,
    pub bearable: u32,
    pub stall: Duration,
    pub prefixes: VecDeque<u64>,
    pub steps: VecDeque<Step>,
    pub maps: BTreeMap<u64, serde_json::Value>,
    pub fence: u64,
    pub active: u64,
    events: VecDeque<(Instant, Event)>,
    event_number: u64,
    waiting: BTreeSet<Ticket>,
    running: usize,
    tickets: u64,
    started: Instant,
    report: (Instant, serde_json::Value),
}

/// The time in which the experts' popularity comes round again.
const DAY: Duration = Duration::from_secs(300);

impl State {
    fn note_event(&mut self, kind: &str, prefix: u64) {
        self.event_number += 1;
        if self.event_number.is_multiple_of(EVENT_LOSS) {
            return;
        }
        let event = Event { number: self.event_number, kind: kind.to_string(), prefix };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Returns how often each expert of the newest map was chosen lately; it drifts.
    fn popularity(&self) -> Vec<u32> {
        let map = self.maps.values().next_back();
        let experts = map.and_then(|map| map["experts"].as_u64()).unwrap_or_default();
        let time = self.started.elapsed().as_secs_f64() / DAY.as_secs_f64();
        let count = |expert: u64| {
            let phase = expert as f64 * 2.4;
            let drift = (std::f64::consts::TAU * time + phase).sin();
            (1_000.0 * (1.2 + drift)) as u32
        };
        (0..experts).map(count).collect()
    }
}

/// The state and the signals around it.
#[derive(Clone)]
pub(super) struct Shared {
    state: Arc<Mutex<State>>,
    pub settings: Arc<Settings>,
    pub tick: Arc<watch::Sender<u64>>,
    pub lives: Arc<watch::Sender<u64>>,
    pub work: Arc<Notify>,
}

impl Shared {
    pub fn new(settings: Settings) -> Self {
        let incarnation = fastrand::u64(..) >> 12;
        let state = State {
            counts: Counts::default(),
            incarnation,
            in_flight: 0,
            bearable: settings.cold_limit,
            stall: Duration::ZERO,
            prefixes: VecDeque::new(),
            steps: VecDeque::new(),
            maps: BTreeMap::new(),
            fence: 0,
            active: 0,
            events: VecDeque::new(),
            event_number: 0,
            waiting: BTreeSet::new(),
            running: 0,
            tickets: 0,
            started: Instant::now(),
            report: (Instant::now(), serde_json::json!({ "incarnation": incarnation })),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            settings: Arc::new(settings),
            tick: Arc::new(watch::Sender::new(0)),
            lives: Arc::new(watch::Sender::new(0)),
            work: Arc::new(Notify::new()),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load as it was a little while ago.
    pub fn report(&self) -> serde_json::Value {
        let mut state = self.lock();
        if state.report.0.elapsed() > REPORT_LAG {
            let now = serde_json::json!({
                "incarnation": state.incarnation,
                "in-flight": state.in_flight,
                "active": state.active,
                "staged": state.maps.keys().collect::<Vec<_>>(),
                "step-us": self.settings.step.as_micros() as u64,
                "experts": state.popularity(),
            });
            state.report = (Instant::now(), now);
        }
        state.report.1.clone()
    }

    /// Returns the events after a number that are old enough to be told.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let state = self.lock();
        let told = state.events.iter().filter(|(at, _)| at.elapsed() >= EVENT_LAG);
        told.map(|(_, event)| event).filter(|event| event.number > after).cloned().collect()
    }

    /// Queues a request for a place in the batch.
    pub fn queue(&self, priority: u32) -> Ticket {
        let mut state = self.lock();
        state.tickets += 1;
        let ticket = (Reverse(priority), state.tickets);
        state.waiting.insert(ticket);
        ticket
    }

    /// Gives a request its place, if there is one and it is the first that waits.
    pub fn place(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        let free = state.running < self.settings.batch && state.waiting.first() == Some(&ticket);
        if free {
            state.waiting.remove(&ticket);
            state.running += 1;
        }
        free
    }

    /// Takes a request out of the queue or the batch.
    pub fn give_up(&self, ticket: Ticket, placed: bool) {
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        state.running -= usize::from(placed);
    }

    /// Turns cold without warning; running answers break off unless it does so in silence.
    pub fn turn_cold(&self, silent: bool) {
        let mut state = self.lock();
        state.bearable = self.settings.cold_limit;
        if silent {
            state.bearable = state.bearable.max(state.in_flight);
            return;
        }
        state.incarnation += 1;
        state.maps.clear();
        state.prefixes.clear();
        drop(state);
        self.lives.send_modify(|life| *life += 1);
    }

    /// Takes a request in; tells how many words of its prompt must be computed. One that is meant for
    /// another life is refused with the engine's own.
    pub fn begin(&self, prompt: &str, life: Option<u64>) -> Result<u64, u64> {
        let mut state = self.lock();
        if life.is_some_and(|life| life != state.incarnation) {
            return Err(state.incarnation);
        }
        state.counts.begun += 1;
        if state.in_flight >= state.bearable {
            state.counts.overloads += 1;
            // It falls over: everything slows down.
            state.stall = state.stall.max(Duration::from_millis(500));
        }
        state.in_flight += 1;
        state.counts.peak = state.counts.peak.max(state.in_flight);
        self.work.notify_one();
        let words = prompt.split_whitespace().count() as u64;
        let hash = filberttrail_kernel::digest::stable_hash(prompt.as_bytes());
        if state.prefixes.contains(&hash) {
            return Ok(0);
        }
        state.prefixes.push_back(hash);
        state.note_event("added", hash);
        if state.prefixes.len() > PREFIXES_KEPT
            && let Some(evicted) = state.prefixes.pop_front()
        {
            state.note_event("evicted", evicted);
        }
        Ok(words)
    }

    /// Lets a request go; each whole answer warms the engine by two.
    pub fn end(&self, whole: bool) {
        let mut state = self.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        if whole {
            state.counts.finished += 1;
            state.bearable = (state.bearable + 2).min(self.settings.warm_limit);
        }
    }
}
