//! What every part of a gateway shares: beliefs, queues and budgets.

use crate::connection::Pool;
use crate::metrics::Metrics;
use crate::outcome::Outcome;
use crate::permit::Permit;
use crate::place::Place;
use crate::state::{Heard, State, is_cut_off, recount};
use crate::tag::{Tag, tag};
use crate::want::{Refusal, Want};
use crate::{Interface, Settings};
use filberttrail_fleet::admission::{self, Admission, Verdict};
use filberttrail_fleet::snapshot::{Progress, Revision, Snapshot};
use filberttrail_fleet::upstream::{self, Upstream};
use filberttrail_fleet::{Budget, Node, Table, balance};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// How long an upstream stays believed whose registration lapsed while the store was away.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Entries assumed before the store has told how many there are.
const ENTRIES_ASSUMED: u32 = 32;
/// How long an entry that is not heard any more is remembered.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// The part of the slots up to which this entry fills an upstream.
const FILL: f64 = 1.0;
/// How far below the longest time-out seen on its route a request counts as returned.
const RETURNED_PART: f64 = 0.97;

/// The shared state of a gateway.
pub struct Hub {
    /// Its settings.
    pub settings: Settings,
    /// The names and decoders of the platform.
    pub interface: Interface,
    /// The clock that beliefs age by.
    pub clock: clock::Shared,
    /// Where decisions are written.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Told of changes after which those who wait may find room.
    pub changed: Notify,
    state: Mutex<State>,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

type Granted = Vec<(oneshot::Sender<Permit>, Permit)>;

impl Hub {
    /// Makes a hub that knows nothing yet.
    pub fn new(
        settings: Settings,
        interface: Interface,
        clock: clock::Shared,
        journal: Journal,
        metrics: Metrics,
    ) -> Arc<Self> {
        let pool = Pool::new(clock.clone());
        let state = Mutex::default();
        let leaving = AtomicBool::new(false);
        let stopped = AtomicBool::new(false);
        let changed = Notify::new();
        let hub = Self {
            settings,
            interface,
            clock,
            journal,
            metrics,
            pool,
            changed,
            state,
            leaving,
            stopped,
        };
        Arc::new(hub)
    }

    /// Returns the time.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to leave: no new callers are asked for.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Says that the grace is over: what is still open is cut.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the grace is over.
    pub fn has_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether it can serve callers.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        let known = state.table.is_some() && state.upstreams_known && state.outs_known;
        known && !self.is_leaving() && !state.cut_off
    }

    /// Returns whether callers had better come to another entry.
    pub fn sends_away(&self) -> bool {
        self.is_leaving() || self.lock().cut_off
    }

    /// Takes in how much longer than sound ones upstreams take, by their addresses.
    pub fn set_paces(&self, paces: HashMap<SocketAddr, f64>) {
        let mut state = self.lock();
        for node in state.nodes.values_mut() {
            node.pace = paces.get(&node.upstream.address).copied().unwrap_or(1.0);
        }
        state.paces = paces;
        let slow: Vec<String> = state.paces.keys().map(SocketAddr::to_string).collect();
        drop(state);
        self.journal.record(Priority::Important, "paces", json!({ "slow": slow }));
    }

    /// Returns the configuration in force, if it is known along with upstreams and outs.
    pub fn table(&self) -> Option<Arc<Table>> {
        let state = self.lock();
        if !state.upstreams_known || !state.outs_known {
            return None;
        }
        state.table.clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn apply(&self, table: Table) {
        let generation = table.configuration().generation;
        let mut state = self.lock();
        let held = state.table.as_ref().map(|table| table.configuration().generation);
        if held.is_some_and(|held| held >= generation) {
            return;
        }
        let routes = table.configuration().routes.len();
        state.table = Some(Arc::new(table));
        drop(state);
        let fields = json!({ "generation": generation, "held": held, "routes": routes });
        self.journal.record(Priority::Important, "configuration", fields);
    }

    /// Takes in which data centres are out of service.
    pub fn set_outs(&self, outs: Vec<String>) {
        let mut state = self.lock();
        state.outs_known = true;
        if state.outs == outs {
            return;
        }
        state.outs.clone_from(&outs);
        drop(state);
        self.journal.record(Priority::Important, "outs", json!({ "data_centres": outs }));
        self.dispatch_all();
    }

    /// Returns the data centres out of service.
    pub fn outs(&self) -> Vec<String> {
        self.lock().outs.clone()
    }

    /// Takes in all registrations; the ones that are not among them are gone.
    pub fn set_upstreams(&self, upstreams: Vec<Upstream>) {
        let present: HashSet<upstream::Id> =
            upstreams.iter().map(|upstream| upstream.id.clone()).collect();
        for upstream in upstreams {
            self.set_upstream(upstream);
        }
        let mut state = self.lock();
        state.upstreams_known = true;
        let gone: Vec<upstream::Id> =
            state.nodes.keys().filter(|id| !present.contains(*id)).cloned().collect();
        drop(state);
        for id in gone {
            self.remove_upstream(&id);
        }
        self.dispatch_all();
    }

    /// Takes in a registration.
    pub fn set_upstream(&self, upstream: Upstream) {
        let mut state = self.lock();
        let fields = json!({
            "upstream": upstream.id,
            "address": upstream.address.to_string(),
            "state": format!("{:?}", upstream.state),
            "born": upstream.born,
            "rank": upstream.rank.as_ref().map(|rank| {
                json!({ "group": rank.group, "epoch": rank.epoch, "number": rank.number, "open": rank.open })
            }),
        });
        let pace = state.paces.get(&upstream.address).copied().unwrap_or(1.0);
        match state.nodes.get_mut(&upstream.id) {
            None => {
                let mut node = Node::new(upstream);
                node.pace = pace;
                state.nodes.insert(node.upstream.id.clone(), node);
            }
            Some(node) => {
                node.missing = false;
                if node.upstream == upstream {
                    return;
                }
                if node.upstream.born != upstream.born || node.upstream.address != upstream.address
                {
                    self.pool.forget(node.upstream.address);
                }
                node.update(upstream);
            }
        }
        drop(state);
        self.journal.record(Priority::Important, "upstream", fields);
        self.dispatch_all();
    }

    /// Takes in that a registration vanished. While the store is away, and shortly after, it may be
    /// back soon.
    pub fn remove_upstream(&self, id: &str) {
        let now = self.now();
        let mut state = self.lock();
        let kind = self.interface.upstreams;
        let doubtful = state.lost.contains(kind) || now < state.regained + LAPSE_GRACE;
        let Some(node) = state.nodes.get_mut(id) else { return };
        if doubtful {
            node.missing = true;
        } else {
            let address = node.upstream.address;
            state.nodes.remove(id);
            self.pool.forget(address);
        }
        drop(state);
        let fields = json!({ "upstream": id, "kept": doubtful });
        self.journal.record(Priority::Important, "upstream_gone", fields);
    }

    /// Notes that the store stopped or began to answer for a kind of object.
    pub fn note_store(&self, kind: &'static str, fault: Option<String>) {
        let now = self.now();
        let mut state = self.lock();
        if fault.is_some() {
            state.lost.insert(kind);
        } else if state.lost.remove(kind) && kind == self.interface.upstreams {
            state.regained = now;
        }
        drop(state);
        let event = if fault.is_some() { "store_lost" } else { "store_regained" };
        self.journal.record(Priority::Important, event, json!({ "kind": kind, "fault": fault }));
    }

    /// Forgets what has become too old to be believed.
    pub fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        if !state.lost.contains(self.interface.upstreams) && now > state.regained + LAPSE_GRACE {
            let gone: Vec<upstream::Id> = state
                .nodes
                .values()
                .filter(|node| node.missing)
                .map(|node| node.upstream.id.clone())
                .collect();
            for id in &gone {
                state.nodes.remove(id);
            }
            if !gone.is_empty() {
                let fields = json!({ "upstreams": gone });
                self.journal.record(Priority::Important, "upstreams_lapsed", fields);
            }
        }
        state.heard.retain(|_, heard| now < heard.at + FORGOTTEN_AFTER);
        recount(&mut state, now);
        let cut_off = is_cut_off(&state, &self.settings.data_centre, now);
        let changed = std::mem::replace(&mut state.cut_off, cut_off) != cut_off;
        drop(state);
        if changed {
            self.journal.record(Priority::Important, "cut_off", json!({ "cut_off": cut_off }));
        }
        self.pool.expire();
        self.dispatch_all();
    }

    /// Notes up to where a kind was followed, and its last change.
    pub fn note_progress(
        &self,
        pick: fn(&mut Progress) -> &mut Revision,
        seen: Revision,
        changed: Revision,
    ) {
        let mut state = self.lock();
        let known = pick(&mut state.seen);
        *known = seen.max(*known);
        let known = pick(&mut state.changed);
        *known = changed.max(*known);
    }

    /// Returns the last change of each kind that is known here.
    pub fn changed(&self) -> Progress {
        self.lock().changed
    }

    /// Returns up to where the store was followed.
    pub fn seen(&self) -> Progress {
        self.lock().seen
    }

    /// Returns all that is known from the store.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.lock();
        Snapshot {
            seen: state.seen,
            configuration: state.table.as_ref().map(|table| table.configuration().clone()),
            upstreams: state.nodes.values().map(|node| node.upstream.clone()).collect(),
            outs: state.outs.clone(),
        }
    }

    /// Takes in what another entry knows, where that is newer.
    pub fn adopt(&self, snapshot: Snapshot) {
        let Snapshot { seen, configuration, upstreams, outs } = snapshot;
        let own = self.seen();
        if seen.configuration > own.configuration
            && let Some(configuration) = configuration
        {
            self.apply(Table::new(configuration));
        }
        if seen.upstreams > own.upstreams {
            self.set_upstreams(upstreams);
        }
        if seen.outs > own.outs {
            self.set_outs(outs);
        }
        let mut state = self.lock();
        state.seen = state.seen.max(&seen);
    }

    /// Takes in how many entries share the budgets.
    pub fn set_entries(&self, entries: u32) {
        self.lock().entries = Some(entries);
    }

    /// Takes in what another entry told of its requests on upstreams.
    pub fn hear(&self, entry: String, data_centre: String, loads: HashMap<Tag, u32>) {
        let at = self.now();
        let mut state = self.lock();
        state.heard.insert(entry, Heard { at, data_centre, loads });
        recount(&mut state, at);
        drop(state);
        self.dispatch_all();
    }

    /// Returns this entry's requests on upstreams.
    pub fn loads(&self) -> Vec<(Tag, u32)> {
        let state = self.lock();
        let busy = state.nodes.values().filter(|node| node.mine > 0);
        busy.map(|node| (tag(&node.upstream.id), node.mine)).collect()
    }

    /// Notes a caller's request; returns whether it comes back after a refusal, which shows in the
    /// time that its caller has left.
    pub fn note_request(&self, service: &str, route: &str, left: Duration) -> bool {
        let now = self.now();
        let mut state = self.lock();
        self.budget(&mut state, service).note_request(now);
        let longest = state.longest.entry(route.to_string()).or_default();
        *longest = left.max(*longest);
        left < longest.mul_f64(RETURNED_PART)
    }

    /// Takes a repeat out of this entry's share of the service's budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let entries = state.entries.unwrap_or(ENTRIES_ASSUMED);
        self.budget(&mut state, service).take(now, entries)
    }

    fn budget<'a>(&self, state: &'a mut State, service: &str) -> &'a mut Budget {
        let terms = self.settings.retries;
        state.budgets.entry(service.to_string()).or_insert_with(|| Budget::new(terms))
    }

    /// Gets a slot of an upstream, waiting for one if that is worth it.
    pub async fn acquire(self: &Arc<Self>, want: Want) -> Result<Permit, Refusal> {
        let now = self.now();
        let (receiver, ticket, until) = {
            let mut state = self.lock();
            let queue_empty = state.queues.get(&want.service).is_none_or(Admission::is_empty);
            if queue_empty
                && let Some(permit) = self.choose(&mut state, &want.service, &want.ask.tried)
            {
                return Ok(permit);
            }
            let any_usable = |tried: &[String]| {
                state.nodes.values().any(|node| {
                    node.upstream.service == want.service
                        && balance::usable(node, &state.outs, tried)
                })
            };
            if !any_usable(&[]) {
                let after = admission::retry_after_outage(fastrand::f64());
                return Err(Refusal { cause: "no upstream", after });
            }
            let all_tried = !any_usable(&want.ask.tried);
            let queue = state.queues.entry(want.service.clone()).or_default();
            if all_tried {
                let after = queue.retry_after(now, fastrand::f64());
                return Err(Refusal { cause: "all were tried", after });
            }
            match queue.decide(now, want.ask.clone(), fastrand::f64()) {
                Verdict::Refuse { after } => return Err(Refusal { cause: "full", after }),
                Verdict::Wait { ticket, until } => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert((want.service.clone(), ticket), sender);
                    (receiver, ticket, until)
                }
            }
        };
        let place = Place { hub: self.clone(), service: want.service.clone(), ticket };
        self.dispatch(&want.service);
        let granted = tokio::time::timeout(until.saturating_sub(now), receiver).await;
        drop(place);
        match granted {
            Ok(Ok(permit)) => Ok(permit),
            _ => {
                let mut state = self.lock();
                let queue = state.queues.entry(want.service).or_default();
                let after = queue.retry_after(self.now(), fastrand::f64());
                Err(Refusal { cause: "waited", after })
            }
        }
    }

    /// Gives a slot back.
    pub fn release(self: &Arc<Self>, id: &str, service: &str) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(node) = state.nodes.get_mut(id) {
            node.mine = node.mine.saturating_sub(1);
        }
        if let Some(queue) = state.queues.get_mut(service) {
            queue.note_freed(now);
        }
        drop(state);
        self.dispatch(service);
    }

    /// Notes what a request told of its upstream.
    pub fn note_outcome(&self, id: &str, outcome: Outcome) {
        let now = self.now();
        let mut state = self.lock();
        let Some(node) = state.nodes.get_mut(id) else { return };
        let event = match outcome {
            Outcome::Success => {
                node.answered = Some(now);
                node.health.note_success(now);
                None
            }
            Outcome::Failure => node.health.note_failure(now).then_some("upstream_paused"),
            Outcome::Unreachable => {
                node.health.pause(now);
                Some("upstream_paused")
            }
            Outcome::Replaced => {
                let known = std::mem::replace(&mut node.replaced, true);
                (!known).then_some("upstream_replaced")
            }
            Outcome::Full => {
                node.health.pause_until(now + FULL_PAUSE);
                None
            }
        };
        let failing = node.health.failing(now);
        drop(state);
        if let Some(event) = event {
            let fields = json!({ "upstream": id, "failing": failing });
            self.journal.record(Priority::Important, event, fields);
        }
    }

    /// Keeps new work from all ranks of an upstream's group for a while.
    pub fn pause_group(&self, id: &str) {
        let until = self.now() + GROUP_PAUSE;
        let mut state = self.lock();
        let group = state.nodes.get(id).and_then(|node| node.upstream.rank.clone());
        let Some(group) = group.map(|rank| rank.group) else { return };
        for node in state.nodes.values_mut() {
            if node.upstream.rank.as_ref().is_some_and(|rank| rank.group == group) {
                node.health.pause_until(until);
                node.health.suspect();
            }
        }
        drop(state);
        let fields = json!({ "group": group, "told_by": id });
        self.journal.record(Priority::Important, "group_paused", fields);
    }

    /// Notes the mean pause between events of a stream of an upstream.
    pub fn note_gap(&self, id: &str, gap: Duration) {
        if let Some(node) = self.lock().nodes.get_mut(id) {
            let known = node.gap.unwrap_or(gap);
            node.gap = Some(known.mul_f64(0.7) + gap.mul_f64(0.3));
        }
    }

    /// Returns the requests that this entry may send to one upstream within a second: its share of
    /// what a cold one bears, kept at all times because one may turn cold at any moment.
    fn per_second(&self, state: &State, service: &str) -> Option<usize> {
        let rate = state.table.as_ref()?.service(service)?.cold_rate;
        if rate <= 0.0 {
            return None;
        }
        let entries = state.entries.unwrap_or(ENTRIES_ASSUMED);
        let bound = rate * self.settings.cold_overshoot + self.settings.cold_slack;
        Some(((bound / f64::from(entries + 1)).floor() as usize).max(1))
    }

    fn choose(
        self: &Arc<Self>,
        state: &mut State,
        service: &str,
        tried: &[String],
    ) -> Option<Permit> {
        let now = self.now();
        let outs = state.outs.clone();
        let per_second = self.per_second(state, service);
        let home = &self.settings.data_centre;
        let terms =
            balance::Terms { service, now, home, outs: &outs, tried, per_second, fill: FILL };
        let node = balance::choose(state.nodes.values_mut(), &terms, fastrand::f64)?;
        node.mine += 1;
        node.sent.note(now);
        Some(Permit::new(self.clone(), &node.upstream))
    }

    /// Gives free slots to those who wait for a service.
    pub fn dispatch(self: &Arc<Self>, service: &str) {
        let mut granted: Granted = Vec::new();
        {
            let mut state = self.lock();
            let Some(queue) = state.queues.get(service).filter(|queue| !queue.is_empty()) else {
                return;
            };
            for waiter in queue.in_order() {
                let Some(permit) = self.choose(&mut state, service, &waiter.tried) else {
                    if waiter.tried.is_empty() {
                        break;
                    }
                    continue;
                };
                if let Some(queue) = state.queues.get_mut(service) {
                    queue.leave(waiter.ticket);
                }
                if let Some(sender) = state.waiting.remove(&(service.to_string(), waiter.ticket)) {
                    granted.push((sender, permit));
                }
            }
        }
        // A permit that nobody takes is dropped here, outside the lock.
        for (sender, permit) in granted {
            drop(sender.send(permit));
        }
    }

    /// Gives free slots to those who wait, whenever a change may have made room.
    pub async fn run_dispatch(self: Arc<Self>) {
        loop {
            self.changed.notified().await;
            let services: Vec<String> = self.lock().queues.keys().cloned().collect();
            for service in services {
                self.dispatch(&service);
            }
        }
    }

    fn dispatch_all(&self) {
        self.changed.notify_one();
    }

    /// Takes somebody out of a queue.
    pub fn forget(&self, service: &str, ticket: u64) {
        let mut state = self.lock();
        if let Some(queue) = state.queues.get_mut(service) {
            queue.leave(ticket);
        }
        let sender = state.waiting.remove(&(service.to_string(), ticket));
        drop(state);
        drop(sender);
    }
}

/// How long an upstream that has no room is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// How long a group that is broken is left alone, unless its registration says so longer.
const GROUP_PAUSE: Duration = Duration::from_millis(500);
