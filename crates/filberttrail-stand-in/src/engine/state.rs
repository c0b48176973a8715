//! Settings, counters and shared state of the stand-in engine.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Largest number of requests in flight without overload when it is cold.
    pub cold_limit: u32,
    /// Largest number of requests in flight without overload when it is warm.
    pub warm_limit: u32,
    /// Duration of a step of the batch.
    pub step: Duration,
    /// Number of prompt words that it computes in one step.
    pub prefill: u64,
    /// Largest number of requests in the batch; others are queued by priority, highest first.
    pub batch: usize,
    /// Whether the engine refuses orders whose fence is lower than one that it has accepted.
    pub checks_fences: bool,
    /// Rank in the group; rank 0 is the leader.
    pub rank: u32,
    /// Whether the engine runs each step on the newest map that it has staged instead of the
    /// version that the leader stamps, as an engine without the barrier would.
    pub uses_newest_map: bool,
    /// Addresses of the other ranks; only rank 0 uses them.
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

/// Counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Number of requests that arrived while the engine was at its capacity.
    pub overloads: u64,
    /// Largest number of requests in flight.
    pub peak: u32,
    /// Number of requests admitted.
    pub begun: u64,
    /// Number of responses completed.
    pub finished: u64,
    /// Number of steps held because a rank had not staged the map or did not respond.
    pub held: u64,
    /// Number of orders refused because of their fence.
    pub old_orders: u64,
}

/// A step of a lock-step group, as one rank ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Incarnation of the leader.
    pub leader: u64,
    /// Number of the step, counted from 0 in each incarnation of the leader.
    pub number: u64,
    /// Version of the expert map that the step ran on.
    pub version: u64,
}

/// A change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number, from 1; a gap means that an event was lost.
    pub number: u64,
    /// `added` or `evicted`.
    pub kind: String,
    /// Hash of the prompt.
    pub prefix: u64,
}

/// Position of a request in the queue: by priority, then by order of arrival.
pub(super) type Ticket = (Reverse<u32>, u64);

/// Number of cache events that are kept.
const EVENTS_KEPT: usize = 256;
/// Delay before an event is reported, as in a real engine's event stream.
const EVENT_LAG: Duration = Duration::from_millis(500);
/// One event of this many is dropped, so that readers have to cope with gaps.
const EVENT_LOSS_INTERVAL: u64 = 7;
/// Number of steps that are kept.
pub(super) const STEPS_KEPT: usize = 4_096;
/// Capacity of the prefix cache, in prompts.
const PREFIXES_KEPT: usize = 64;
/// Interval at which the load report is refreshed.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

pub(super) struct State {
    pub counts: Counts,
    pub incarnation: u64,
    pub in_flight: u32,
    /// Number of requests in flight above which the engine is overloaded.
    pub capacity: u32,
    /// Extra duration of the next step.
    pub stall: Duration,
    pub prefixes: VecDeque<u64>,
    pub steps: VecDeque<Step>,
    /// Staged expert maps, by version.
    pub maps: BTreeMap<u64, serde_json::Value>,
    /// Highest fence of the orders so far.
    pub fence: u64,
    /// Map version that the leader stamps on its steps; 0 before the first activation.
    pub active: u64,
    events: VecDeque<(Instant, Event)>,
    event_number: u64,
    /// Requests in the queue.
    waiting: BTreeSet<Ticket>,
    /// Number of requests in the batch.
    running: usize,
    last_ticket: u64,
    started: Instant,
    /// Last load report and the time of it.
    report: (Instant, serde_json::Value),
}

/// Period of the experts' popularity.
const POPULARITY_PERIOD: Duration = Duration::from_secs(300);

impl State {
    fn note_event(&mut self, kind: &str, prefix: u64) {
        self.event_number += 1;
        if self.event_number.is_multiple_of(EVENT_LOSS_INTERVAL) {
            return;
        }
        let event = Event { number: self.event_number, kind: kind.to_string(), prefix };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Returns how often each expert of the newest map is chosen; the counts drift with time.
    fn popularity(&self) -> Vec<u32> {
        let map = self.maps.values().next_back();
        let experts = map.and_then(|map| map["experts"].as_u64()).unwrap_or_default();
        let time = self.started.elapsed().as_secs_f64() / POPULARITY_PERIOD.as_secs_f64();
        let count = |expert: u64| {
            let phase = expert as f64 * 2.4;
            let drift = (std::f64::consts::TAU * time + phase).sin();
            (1_000.0 * (1.2 + drift)) as u32
        };
        (0..experts).map(count).collect()
    }
}

/// The state of an engine and the channels that signal its changes.
#[derive(Clone)]
pub(super) struct Shared {
    state: Arc<Mutex<State>>,
    pub settings: Arc<Settings>,
    /// Number of steps of the batch.
    pub tick: Arc<watch::Sender<u64>>,
    /// Number of simulated restarts.
    pub restarts: Arc<watch::Sender<u64>>,
    /// Wakes the step loop when a request is admitted.
    pub work: Arc<Notify>,
}

impl Shared {
    pub fn new(settings: Settings) -> Self {
        let incarnation = fastrand::u64(..) >> 12;
        let state = State {
            counts: Counts::default(),
            incarnation,
            in_flight: 0,
            capacity: settings.cold_limit,
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
            last_ticket: 0,
            started: Instant::now(),
            report: (Instant::now(), serde_json::json!({ "incarnation": incarnation })),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            settings: Arc::new(settings),
            tick: Arc::new(watch::Sender::new(0)),
            restarts: Arc::new(watch::Sender::new(0)),
            work: Arc::new(Notify::new()),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load report, which may be [`REPORT_INTERVAL`] old.
    pub fn report(&self) -> serde_json::Value {
        let mut state = self.lock();
        if state.report.0.elapsed() > REPORT_INTERVAL {
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

    /// Returns the events after a sequence number that are at least [`EVENT_LAG`] old.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let state = self.lock();
        let visible = state.events.iter().filter(|(at, _)| at.elapsed() >= EVENT_LAG);
        visible.map(|(_, event)| event).filter(|event| event.number > after).cloned().collect()
    }

    /// Queues a request for the batch.
    pub fn enqueue(&self, priority: u32) -> Ticket {
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = (Reverse(priority), state.last_ticket);
        state.waiting.insert(ticket);
        ticket
    }

    /// Moves a request of an incarnation to the batch if the batch has room and the request is first in
    /// the queue. Returns whether it did.
    pub fn try_join_batch(&self, ticket: Ticket, incarnation: u64) -> bool {
        let mut state = self.lock();
        let joins = state.incarnation == incarnation
            && state.running < self.settings.batch
            && state.waiting.first() == Some(&ticket);
        if joins {
            state.waiting.remove(&ticket);
            state.running += 1;
        }
        joins
    }

    /// Removes a request of an incarnation from the queue or, if it is `in_batch`, from the batch.
    pub fn remove(&self, ticket: Ticket, in_batch: bool, incarnation: u64) {
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        state.running -= usize::from(in_batch && state.incarnation == incarnation);
    }

    /// Makes the engine cold. Unless `silent`, this simulates a restart: the requests so far fail and
    /// are gone at once, the incarnation changes, and the staged maps and the prefix cache are cleared.
    pub fn turn_cold(&self, silent: bool) {
        let mut state = self.lock();
        state.capacity = self.settings.cold_limit;
        if silent {
            state.capacity = state.capacity.max(state.in_flight);
            return;
        }
        state.incarnation += 1;
        state.maps.clear();
        state.prefixes.clear();
        state.in_flight = 0;
        state.running = 0;
        state.waiting.clear();
        drop(state);
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Admits a request, and returns the number of words of its prompt that are not in the prefix
    /// cache, and the incarnation that runs it.
    ///
    /// Fails with the engine's own incarnation if the request is meant for another one.
    pub fn admit(&self, prompt: &str, incarnation: Option<u64>) -> Result<(u64, u64), u64> {
        let mut state = self.lock();
        if incarnation.is_some_and(|incarnation| incarnation != state.incarnation) {
            return Err(state.incarnation);
        }
        state.counts.begun += 1;
        if state.in_flight >= state.capacity {
            state.counts.overloads += 1;
            // An overload slows down all requests.
            state.stall = state.stall.max(Duration::from_millis(500));
        }
        state.in_flight += 1;
        state.counts.peak = state.counts.peak.max(state.in_flight);
        self.work.notify_one();
        let words = prompt.split_whitespace().count() as u64;
        let hash = filberttrail_kernel::digest::stable_hash(prompt.as_bytes());
        if state.prefixes.contains(&hash) {
            return Ok((0, state.incarnation));
        }
        state.prefixes.push_back(hash);
        state.note_event("added", hash);
        if state.prefixes.len() > PREFIXES_KEPT
            && let Some(evicted) = state.prefixes.pop_front()
        {
            state.note_event("evicted", evicted);
        }
        Ok((words, state.incarnation))
    }

    /// Removes a request of an incarnation from those in flight. Each complete response raises the
    /// capacity by 2, up to the warm limit.
    pub fn finish(&self, complete: bool, incarnation: u64) {
        let mut state = self.lock();
        if state.incarnation != incarnation {
            return;
        }
        state.in_flight = state.in_flight.saturating_sub(1);
        if complete {
            state.counts.finished += 1;
            state.capacity = (state.capacity + 2).min(self.settings.warm_limit);
        }
    }
}
