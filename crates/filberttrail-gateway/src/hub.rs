//! The state that all tasks of a gateway share: candidates, queues and budgets.

use crate::blame::Blame;
use crate::connection::Pool;
use crate::currency::Currency;
use crate::id_hash::{IdHash, hash_id};
use crate::memory::create_budget;
use crate::metrics::Metrics;
use crate::outcome::Outcome;
use crate::permit::Permit;
use crate::queue_guard::QueueGuard;
use crate::slot_request::{Refusal, SlotRequest};
use crate::state::{DEPARTED_RETENTION, RESTORE_GRACE, State, is_partitioned};
use crate::unreadable::Unreadable;
use crate::{Interface, Settings};
use filberttrail_fleet::admission::{self, Admission, Decision};
use filberttrail_fleet::snapshot::{Progress, Revision};
use filberttrail_fleet::subset::Share;
use filberttrail_fleet::upstream::Upstream;
use filberttrail_fleet::{Budget, Loads, Presence, Table, balance};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_store::revision;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Time after the store's recovery for which upstreams are kept whose registration lapsed during
/// the outage.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Number of entries assumed until the store has reported it.
pub(crate) const ASSUMED_ENTRIES: u32 = 32;
/// Time after which a data centre is forgotten whose entries send no more messages.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Fraction of its slots up to which this entry fills an upstream.
const UTILISATION_LIMIT: f64 = 1.0;
/// Interval at which requests check whether the knowledge is fresh after a pause.
const REFRESH_POLL: Duration = Duration::from_millis(10);
/// Time that a message between entries may take. Longer delays add to the age of what it proves, and
/// entries behind links that delay messages longer are not expected to apply changes in time.
pub(crate) const TRANSIT_LIMIT: Duration = Duration::from_millis(100);
/// The part of the knowledge that messages of other entries refresh.
const NEWS: &str = "news";
/// A request counts as a caller's retry if its time left is below this fraction of the longest one
/// seen on its route.
const FULL_TIMEOUT_FRACTION: f64 = 0.97;

/// The shared state of a gateway.
pub struct Hub {
    /// Settings of the gateway.
    pub settings: Settings,
    /// Names and decoders of the platform.
    pub interface: Interface,
    /// The clock that all times are read from.
    pub clock: clock::Shared,
    /// The log of decisions.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Budget of the memory that is held for callers and other entries.
    pub memory: filberttrail_web::memory::Budget,
    /// What is blamed for crashes.
    pub blame: Blame,
    /// Proofs that what was read from the store is current.
    pub currency: Currency,
    /// Unreadable objects that were logged.
    pub unreadable: Unreadable,
    /// Notified after changes that may have made slots available to waiting requests.
    pub dispatch_requested: Notify,
    state: Mutex<State>,
    draining: AtomicBool,
    grace_over: AtomicBool,
}

type Grants = Vec<(oneshot::Sender<Permit>, Permit)>;

impl Hub {
    /// Creates a hub that has not read anything from the store.
    pub fn new(
        settings: Settings,
        interface: Interface,
        clock: clock::Shared,
        journal: Journal,
        metrics: Metrics,
    ) -> Arc<Self> {
        let pool = Pool::new(clock.clone());
        let memory = create_budget(settings.memory_bytes, clock.clone(), journal.clone());
        let blame = Blame::new(clock.clone(), journal.clone());
        let currency = Currency::new(&clock);
        let mut state = State::default();
        state.freshness.tick(clock.now());
        state.presence = Presence::new(clock.now(), &settings.name, &settings.data_centre);
        let state = Mutex::new(state);
        let draining = AtomicBool::new(false);
        let grace_over = AtomicBool::new(false);
        let dispatch_requested = Notify::new();
        let hub = Self {
            settings,
            interface,
            clock,
            journal,
            metrics,
            pool,
            memory,
            blame,
            currency,
            unreadable: Unreadable::default(),
            dispatch_requested,
            state,
            draining,
            grace_over,
        };
        Arc::new(hub)
    }

    /// Returns the current time of the gateway's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts draining: the gateway reports that it is not ready and closes connections after
    /// responses.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Marks the grace period as over: requests that are still open are cut off.
    pub fn end_grace(&self) {
        self.grace_over.store(true, Ordering::Relaxed);
    }

    /// Returns whether the grace period is over.
    pub fn is_grace_over(&self) -> bool {
        self.grace_over.load(Ordering::Relaxed)
    }

    /// Returns whether the gateway is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the gateway can serve callers.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.is_known() && !self.is_draining() && !state.partitioned
    }

    /// Returns whether connections are closed after responses, so that callers connect to another
    /// entry.
    pub fn closes_connections(&self) -> bool {
        self.is_draining() || self.lock().partitioned
    }

    /// Replaces the slowdown factors of slow upstreams, by address.
    pub fn set_slowdowns(&self, slowdowns: HashMap<SocketAddr, f64>) {
        let mut state = self.lock();
        for candidate in state.candidates.values_mut() {
            candidate.slowdown = slowdowns.get(&candidate.upstream.address).copied().unwrap_or(1.0);
        }
        state.slowdowns = slowdowns;
        let slow: Vec<String> = state.slowdowns.keys().map(SocketAddr::to_string).collect();
        drop(state);
        self.journal.record(Priority::Important, "paces", json!({ "slow": slow }));
    }

    /// Records that the process runs, and returns whether it was paused before.
    pub fn record_tick(&self) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let pause = state.freshness.tick(now);
        if pause.is_some() {
            state.presence.restart(now);
        }
        drop(state);
        if let Some(pause) = pause {
            let fields = json!({ "paused_ms": pause.as_millis() as u64 });
            self.journal.record(Priority::Important, "resumed", fields);
        }
        pause.is_some()
    }

    /// Returns whether the process was paused and has not read the store again yet.
    pub fn is_stale(&self) -> bool {
        let now = self.now();
        self.lock().freshness.is_stale(now)
    }

    /// Waits until what is known was read after the last pause of the process, for a short time at
    /// most.
    pub async fn wait_until_fresh(&self) {
        while self.is_stale() {
            tokio::time::sleep(REFRESH_POLL).await;
        }
    }

    /// Returns the active configuration. Returns nothing until the upstreams, the data centres out
    /// of service and the condemned subjects are known too.
    pub fn table(&self) -> Option<Arc<Table>> {
        let state = self.lock();
        state.table.clone().filter(|_| state.is_known())
    }

    /// Activates a configuration, unless the active one has the same or a later generation.
    pub fn apply_table(&self, table: Table) {
        let generation = table.configuration().generation;
        let mut state = self.lock();
        let current = state.table.as_ref().map(|table| table.configuration().generation);
        if current.is_some_and(|current| current >= generation) {
            return;
        }
        let routes = table.configuration().routes.len();
        state.table = Some(Arc::new(table));
        self.update_subsets(&mut state);
        drop(state);
        let fields = json!({ "generation": generation, "held": current, "routes": routes });
        self.journal.record(Priority::Important, "configuration", fields);
    }

    /// Replaces the set of data centres out of service.
    pub fn set_outs(&self, outs: Vec<String>) {
        let mut state = self.lock();
        state.outs_known = true;
        if state.outs == outs {
            return;
        }
        state.outs.clone_from(&outs);
        drop(state);
        self.journal.record(Priority::Important, "outs", json!({ "data_centres": outs }));
        self.request_dispatch();
    }

    /// Returns the data centres out of service.
    pub fn outs(&self) -> Vec<String> {
        self.lock().outs.clone()
    }

    /// Returns whether the store was restored from a copy so recently that it may lack what was
    /// written shortly before.
    pub fn is_restoring(&self) -> bool {
        self.lock().restored_at.is_some()
    }

    /// Records that the store was restored, if `seen` is of a later era than `previous`.
    pub(crate) fn note_restore(&self, state: &mut State, previous: Revision, seen: Revision) {
        if previous == 0 || revision::era(seen) <= revision::era(previous) {
            return;
        }
        let now = self.now();
        state.restored_at = Some(now);
        state.upstreams_regained_at = now;
        let fields = json!({ "era": revision::era(seen), "before": revision::era(previous) });
        self.journal.record(Priority::Important, "store_restored", fields);
    }

    /// Returns whether the objects have to be listed again, because what a restored store lacked
    /// should have been written again by now.
    pub fn take_restore_end(&self) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let over = state.restored_at.is_some_and(|at| now >= at + RESTORE_GRACE);
        if over {
            state.restored_at = None;
        }
        over
    }

    /// Records that the store became unavailable for a kind of object, with the error, or available
    /// again.
    pub fn record_store_state(&self, kind: &'static str, error: Option<String>) {
        let now = self.now();
        let mut state = self.lock();
        if error.is_some() {
            state.unavailable_kinds.insert(kind);
        } else if state.unavailable_kinds.remove(kind) && kind == self.interface.upstreams {
            state.upstreams_regained_at = now;
        }
        drop(state);
        let event = if error.is_some() { "store_lost" } else { "store_regained" };
        self.journal.record(Priority::Important, event, json!({ "kind": kind, "fault": error }));
    }

    /// Records that this entry no longer asks the store for a kind of object, which it could not
    /// reach last. What relays tell counts from now on.
    pub fn record_store_unwatched(&self, kind: &'static str) {
        let now = self.now();
        let mut state = self.lock();
        if state.unavailable_kinds.remove(kind) && kind == self.interface.upstreams {
            state.upstreams_regained_at = now;
        }
        drop(state);
        self.journal.record(Priority::Important, "store_unwatched", json!({ "kind": kind }));
    }

    /// Removes upstreams, peer reports and idle connections that have expired.
    pub fn remove_expired(&self) {
        let now = self.now();
        let mut state = self.lock();
        if !state.unavailable_kinds.contains(self.interface.upstreams)
            && now > state.upstreams_regained_at + LAPSE_GRACE
        {
            let expired_ids = state.missing_upstreams();
            for id in &expired_ids {
                state.remove_candidate(id);
            }
            if !expired_ids.is_empty() {
                let fields = json!({ "upstreams": expired_ids });
                self.journal.record(Priority::Important, "upstreams_lapsed", fields);
            }
        }
        state.departed.retain(|_, departure| now < departure.at + DEPARTED_RETENTION);
        state.heard.retain(|_, at| now < *at + PEER_RETENTION);
        let changed = state.loads.remove_expired(now);
        state.update_peer_requests(&changed);
        let partitioned = is_partitioned(&state, &self.settings.data_centre, now);
        let changed = std::mem::replace(&mut state.partitioned, partitioned) != partitioned;
        drop(state);
        if changed {
            self.journal.record(Priority::Important, "cut_off", json!({ "cut_off": partitioned }));
        }
        self.pool.remove_expired();
        self.blame.remove_expired();
        self.request_dispatch();
    }

    /// Records the revision up to which a kind of object was followed, and that of its last change.
    pub fn record_progress(
        &self,
        kind: &'static str,
        pick: fn(&mut Progress) -> &mut Revision,
        seen: Revision,
        changed: Revision,
    ) {
        let mut state = self.lock();
        let previous = *pick(&mut state.followed);
        self.note_restore(&mut state, previous, seen);
        self.record_refreshed(&mut state, kind);
        *pick(&mut state.followed) = seen.max(previous);
        let previous = pick(&mut state.latest_changes);
        *previous = changed.max(*previous);
    }

    /// Records that a part of the knowledge was read: a kind of object, or the news of another entry,
    /// which tells what it has condemned.
    fn record_refreshed(&self, state: &mut State, part: &'static str) {
        let Interface { upstreams, configuration, outs, .. } = self.interface;
        let parts = [upstreams, configuration.0, outs, NEWS];
        // An entry without others has no news to wait for.
        let needed = if state.entry_hashes.len() > 1 { &parts[..] } else { &parts[..3] };
        state.freshness.record_read(part, needed);
    }

    /// Records that another entry sent a message.
    pub fn record_news(&self) {
        self.record_refreshed(&mut self.lock(), NEWS);
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> Result<Vec<u8>, prometheus::Error> {
        let generation =
            self.lock().table.as_ref().map_or(0, |table| table.configuration().generation);
        self.metrics.set_generation(generation);
        let ages = self.currency.ages();
        let Interface { upstreams, configuration, outs, .. } = self.interface;
        let kinds =
            [(upstreams, ages.upstreams), (configuration.0, ages.configuration), (outs, ages.outs)];
        for (kind, age) in kinds.into_iter().filter_map(|(kind, age)| Some((kind, age?))) {
            self.metrics.set_store_age(kind, Duration::from_millis(u64::from(age)));
        }
        self.metrics.set_condemned_subjects(self.blame.count_condemned());
        self.metrics.set_memory(&self.memory);
        self.metrics.render()
    }

    /// Returns the revision of the last known change of each kind of object.
    pub fn latest_changes(&self) -> Progress {
        self.lock().latest_changes
    }

    /// Returns the revisions up to which the store was followed.
    pub fn followed_revisions(&self) -> Progress {
        self.lock().followed
    }

    /// Returns the registered upstreams.
    pub fn upstreams(&self) -> Vec<Upstream> {
        self.lock().candidates.values().map(|candidate| candidate.upstream.clone()).collect()
    }

    /// Records that the condemned subjects are known.
    pub fn note_verdicts_known(&self) {
        self.lock().verdicts_known = true;
    }

    /// Returns whether the condemned subjects are known.
    pub fn knows_verdicts(&self) -> bool {
        self.lock().verdicts_known
    }

    pub(crate) fn update_subsets(&self, state: &mut State) {
        let entries = state.entries.unwrap_or(ASSUMED_ENTRIES);
        let entry = stable_hash(self.settings.name.as_bytes());
        state.update_subsets(entry, |table, service| self.share(table, service, entries));
    }

    /// Records the load that a sender reported: another entry, or a relay for several.
    pub fn receive_load(&self, sender: &str, loads: Vec<(IdHash, u32)>) {
        let now = self.now();
        let mut state = self.lock();
        let changed = state.loads.receive(now, sender, loads);
        state.update_peer_requests(&changed);
        let waiting = !state.waiting_senders.is_empty();
        drop(state);
        if waiting {
            self.request_dispatch();
        }
    }

    /// Records that an entry of a data centre sent a message `age` ago.
    pub fn record_heard(&self, data_centre: &str, age: Duration) {
        let at = self.now().saturating_sub(age);
        let mut state = self.lock();
        match state.heard.get_mut(data_centre) {
            Some(heard) => *heard = at.max(*heard),
            None => drop(state.heard.insert(data_centre.to_string(), at)),
        }
    }

    /// Returns the data centres from which entries sent messages, and the age of the last one.
    pub fn heard(&self) -> Vec<(String, Duration)> {
        let now = self.now();
        let state = self.lock();
        let heard = state.heard.iter();
        heard.map(|(name, at)| (name.clone(), now.saturating_sub(*at))).collect()
    }

    /// Returns the upstreams in whose subsets this entry is, `limit` at most.
    pub fn subset_upstreams(&self, limit: usize) -> Vec<IdHash> {
        let state = self.lock();
        let usable = state.candidates.values().filter(|candidate| candidate.in_subset);
        usable.map(|candidate| hash_id(&candidate.upstream.id)).take(limit).collect()
    }

    /// Reads the loads that others reported.
    pub fn read_loads<T>(&self, read: impl FnOnce(&Loads) -> T) -> T {
        read(&self.lock().loads)
    }

    /// Returns the number of this entry's requests in flight, per upstream.
    pub fn own_loads(&self) -> Vec<(IdHash, u32)> {
        let state = self.lock();
        let loaded = state.candidates.values().filter(|candidate| candidate.own_requests > 0);
        loaded.map(|candidate| (hash_id(&candidate.upstream.id), candidate.own_requests)).collect()
    }

    /// Counts a caller's request for the retry budget of the service. Returns whether the request
    /// is probably a caller's retry of a refused one: a retry has clearly less time left than the
    /// request with the most time left that was seen on the route.
    pub fn record_request(&self, service: &str, route: &str, time_left: Duration) -> bool {
        let now = self.now();
        let mut state = self.lock();
        self.budget_for(&mut state, service).record_request(now);
        let longest_timeout = state.longest_timeouts.entry(route.to_string()).or_default();
        *longest_timeout = time_left.max(*longest_timeout);
        time_left < longest_timeout.mul_f64(FULL_TIMEOUT_FRACTION)
    }

    /// Takes a retry from this entry's share of the service's retry budget. Returns whether the
    /// share allowed it.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let entries = state.entries.unwrap_or(ASSUMED_ENTRIES);
        self.budget_for(&mut state, service).try_take(now, entries)
    }

    fn budget_for<'a>(&self, state: &'a mut State, service: &str) -> &'a mut Budget {
        let terms = self.settings.retries;
        state.budgets.entry(service.to_string()).or_insert_with(|| Budget::new(terms))
    }

    /// Acquires a slot of an upstream. Waits for one if admission control allows it.
    pub async fn acquire(self: &Arc<Self>, slot_request: SlotRequest) -> Result<Permit, Refusal> {
        let now = self.now();
        let (receiver, ticket, deadline) = {
            let mut state = self.lock();
            let queue_empty =
                state.queues.get(&slot_request.service).is_none_or(Admission::is_empty);
            if queue_empty
                && let Some(permit) =
                    self.choose(&mut state, &slot_request.service, &slot_request.admission.tried)
            {
                return Ok(permit);
            }
            let any_usable = |tried: &[String]| {
                state.candidates.values().any(|candidate| {
                    candidate.upstream.service == slot_request.service
                        && balance::is_usable(candidate, &state.outs, tried)
                })
            };
            if !any_usable(&[]) {
                let retry_after = admission::retry_after_outage(fastrand::f64());
                return Err(Refusal { cause: "no upstream", retry_after });
            }
            let all_tried = !any_usable(&slot_request.admission.tried);
            if let Some(until) = state.opens_at(now, &slot_request).filter(|until| now < *until)
                && let Some(retry_after) =
                    admission::refuse_declined(now, until, &slot_request.admission, fastrand::f64())
            {
                return Err(Refusal { cause: "upstreams decline", retry_after });
            }
            let queue = state.queues.entry(slot_request.service.clone()).or_default();
            if all_tried {
                let retry_after = queue.retry_after(now, fastrand::f64());
                return Err(Refusal { cause: "all were tried", retry_after });
            }
            match queue.decide(now, slot_request.admission.clone(), fastrand::f64()) {
                Decision::Refuse { retry_after } => {
                    return Err(Refusal { cause: "full", retry_after });
                }
                Decision::Wait { ticket, deadline } => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting_senders.insert((slot_request.service.clone(), ticket), sender);
                    (receiver, ticket, deadline)
                }
            }
        };
        let queue_guard =
            QueueGuard { hub: self.clone(), service: slot_request.service.clone(), ticket };
        self.dispatch(&slot_request.service);
        let granted = tokio::time::timeout(deadline.saturating_sub(now), receiver).await;
        drop(queue_guard);
        match granted {
            Ok(Ok(permit)) => Ok(permit),
            _ => {
                let mut state = self.lock();
                let queue = state.queues.entry(slot_request.service).or_default();
                let retry_after = queue.retry_after(self.now(), fastrand::f64());
                Err(Refusal { cause: "waited", retry_after })
            }
        }
    }

    /// Releases a slot.
    pub fn release(self: &Arc<Self>, id: &str, service: &str) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(candidate) = state.candidates.get_mut(id) {
            candidate.own_requests = candidate.own_requests.saturating_sub(1);
        }
        if let Some(queue) = state.queues.get_mut(service) {
            queue.record_freed(now);
        }
        drop(state);
        self.dispatch(service);
    }

    /// Updates the health of an upstream after a request.
    pub fn record_outcome(&self, id: &str, outcome: Outcome) {
        let now = self.now();
        let mut state = self.lock();
        let Some(candidate) = state.candidates.get_mut(id) else { return };
        let event = match outcome {
            Outcome::Success => {
                candidate.last_success = Some(now);
                candidate.health.record_success(now);
                None
            }
            Outcome::Failure => candidate.health.record_failure(now).then_some("upstream_paused"),
            Outcome::Unreachable => {
                candidate.health.pause(now);
                Some("upstream_paused")
            }
            Outcome::Replaced => {
                let previous = std::mem::replace(&mut candidate.replaced, true);
                (!previous).then_some("upstream_replaced")
            }
            Outcome::Full => {
                candidate.health.pause_until(now + FULL_PAUSE);
                None
            }
        };
        let failure_rate = candidate.health.failure_rate(now);
        drop(state);
        if let Some(event) = event {
            let fields = json!({ "upstream": id, "failing": failure_rate });
            self.journal.record(Priority::Important, event, fields);
        }
    }

    /// Pauses all ranks of an upstream's group for a short time and marks them as suspect.
    pub fn pause_group(&self, id: &str) {
        let until = self.now() + GROUP_PAUSE;
        let mut state = self.lock();
        let group = state.candidates.get(id).and_then(|candidate| candidate.upstream.rank.clone());
        let Some(group) = group.map(|rank| rank.group) else { return };
        for candidate in state.candidates.values_mut() {
            if candidate.upstream.rank.as_ref().is_some_and(|rank| rank.group == group) {
                candidate.health.pause_until(until);
                candidate.health.mark_suspect();
            }
        }
        drop(state);
        let fields = json!({ "group": group, "told_by": id });
        self.journal.record(Priority::Important, "group_paused", fields);
    }

    /// Records that an upstream sent an event of a stream.
    pub fn record_event(&self, id: &str) {
        let now = self.now();
        if let Some(candidate) = self.lock().candidates.get_mut(id) {
            candidate.last_event = Some(now);
        }
    }

    /// Returns whether the whole group of an upstream that sent nothing for `silence` is silent,
    /// and no other upstream can take over. The work of the group goes on or fails as a whole then,
    /// and starting it again at another rank only adds load.
    pub fn is_group_stalled(&self, id: &str, silence: Duration) -> bool {
        let now = self.now();
        let state = self.lock();
        balance::is_group_stalled(&state.candidates, id, &state.outs, now, silence)
    }

    /// Records the mean interval between the events of an upstream's stream.
    pub fn record_event_interval(&self, id: &str, event_interval: Duration) {
        if let Some(candidate) = self.lock().candidates.get_mut(id) {
            let previous = candidate.event_interval.unwrap_or(event_interval);
            candidate.event_interval = Some(previous.mul_f64(0.7) + event_interval.mul_f64(0.3));
        }
    }

    /// Returns the number of requests that this entry may send to one upstream within a second: its
    /// share of what a cold upstream can handle. The limit applies at all times, because an
    /// upstream may become cold at any moment.
    fn max_sends_per_second(&self, state: &State, service: &str) -> Option<usize> {
        let entries = state.entries.unwrap_or(ASSUMED_ENTRIES);
        let share = self.share(state.table.as_ref()?, service, entries);
        share.map(|share| share.sends_per_second)
    }

    /// Returns the share of what a cold upstream of a service can handle that one entry may use;
    /// `None` if the service's upstreams are never cold.
    fn share(&self, table: &Table, service: &str, entries: u32) -> Option<Share> {
        let rate = table.find_service(service)?.cold_rate;
        if rate <= 0.0 {
            return None;
        }
        let bound = rate * self.settings.cold_overshoot + self.settings.cold_slack;
        Some(Share::divide(bound, entries as usize))
    }

    fn choose(
        self: &Arc<Self>,
        state: &mut State,
        service: &str,
        tried: &[String],
    ) -> Option<Permit> {
        let now = self.now();
        let outs = state.outs.clone();
        let max_sends_per_second = self.max_sends_per_second(state, service);
        let local_data_centre = &self.settings.data_centre;
        let constraints = balance::Constraints {
            service,
            now,
            local_data_centre,
            outs: &outs,
            tried,
            entries: state.entries.unwrap_or(ASSUMED_ENTRIES) as usize,
            max_sends_per_second,
            max_utilisation: UTILISATION_LIMIT,
        };
        let candidate =
            balance::choose(state.candidates.values_mut(), &constraints, fastrand::f64)?;
        candidate.own_requests += 1;
        candidate.recent_sends.record(now);
        candidate.intake.record_send(now);
        Some(Permit::new(self.clone(), &candidate.upstream))
    }

    /// Grants free slots to the requests that wait for a service.
    pub fn dispatch(self: &Arc<Self>, service: &str) {
        let mut grants: Grants = Vec::new();
        if self.is_stale() {
            return;
        }
        {
            let mut state = self.lock();
            let Some(queue) = state.queues.get(service).filter(|queue| !queue.is_empty()) else {
                return;
            };
            for waiter in queue.list_in_order() {
                let Some(permit) = self.choose(&mut state, service, &waiter.tried) else {
                    if waiter.tried.is_empty() {
                        break;
                    }
                    continue;
                };
                if let Some(queue) = state.queues.get_mut(service) {
                    queue.remove(waiter.ticket);
                }
                if let Some(sender) =
                    state.waiting_senders.remove(&(service.to_string(), waiter.ticket))
                {
                    grants.push((sender, permit));
                }
            }
        }
        // If the receiver no longer exists, the permit is dropped here, outside the lock, because
        // the drop locks the state.
        for (sender, permit) in grants {
            drop(sender.send(permit));
        }
    }

    /// Grants free slots to waiting requests whenever a change may have made some available.
    pub async fn run_dispatch(self: Arc<Self>) {
        loop {
            self.dispatch_requested.notified().await;
            let services: Vec<String> = self.lock().queues.keys().cloned().collect();
            for service in services {
                self.dispatch(&service);
            }
        }
    }

    pub(crate) fn request_dispatch(&self) {
        self.dispatch_requested.notify_one();
    }

    /// Removes a waiting request from a queue.
    pub fn remove_waiter(&self, service: &str, ticket: u64) {
        let mut state = self.lock();
        if let Some(queue) = state.queues.get_mut(service) {
            queue.remove(ticket);
        }
        let sender = state.waiting_senders.remove(&(service.to_string(), ticket));
        drop(state);
        drop(sender);
    }
}

/// Pause of an upstream that refused a request for lack of a free slot.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Pause of a group that failed. Its registration may exclude it for longer.
const GROUP_PAUSE: Duration = Duration::from_millis(500);
