//! Coordinates the move of a lock-step group from one expert map to the next.

use crate::election::{Election, TAKEOVER_TIMEOUT};
use crate::fanout;
use crate::order::{Envelope, Order};
use crate::peer::{Call, Member, Query, Replies, Responder};
use crate::plan::Plan;
use crate::popularity::Estimator;
use crate::proposal::{self, Proposal};
use crate::report::{Assignment, Report, Shape, Version};
use crate::rollout::{self, Step};
use crate::round::Round;
use crate::slowdown::Publisher;
use crate::{Interface, Settings};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_place::Map;
use filberttrail_store::Objects;
use filberttrail_store::feed::{Object, Revision, Written};
use futures::future::join_all;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Kind of the store objects that hold plans; there is one object per group.
pub const KIND: &str = "filberttrail-plans";
/// Interval between rounds while no change is in progress. Expert counts are also sampled at this
/// interval.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between rounds while ranks copy expert weights.
const COPY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between rounds while a map switch is in progress.
const SWITCH_INTERVAL: Duration = Duration::from_millis(4);
/// Delay before an order that got a response is sent again if reports do not show its effect. An
/// order without a response is sent again in the next round.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long switches are scheduled further ahead after an order got no response.
const LOSSY_PERIOD: Duration = Duration::from_millis(5_000);
/// How long calls bypass an unresponsive rebalancer and go directly to its engine.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_millis(1_000);
/// Maximum number of steps of a plan that follow each other without a query of all ranks.
const STEPS_PER_ROUND: usize = 4;
/// Maximum number of ranks that a log line lists.
const LOGGED_RANKS: usize = 8;
/// Minimum interval between two lookups of the ranks' addresses in the store.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);
/// The coordinating part of a rebalancer. It acts only while its rank is the group's coordinator.
pub struct Coordinator {
    settings: Settings,
    interface: Interface,
    responder: Arc<Responder>,
    objects: Arc<Objects>,
    clock: clock::Shared,
    journal: Journal,
    members: BTreeMap<usize, SocketAddr>,
    last_lookup: Option<Duration>,
    /// Whether the addresses of the ranks have to be read again.
    lookup_needed: bool,
    shape: Option<Shape>,
    popularity: Estimator,
    /// The stored object as last read or written; its revision is the condition of the next write.
    stored_plan: Option<Object>,
    plan: Option<Plan>,
    plan_loaded: bool,
    /// The store's era in which the plan was read or written.
    plan_era: Option<u64>,
    /// The last order sent to each rank, and when it was sent.
    last_sent: BTreeMap<usize, (Order, Duration)>,
    /// No rounds run until this time, after another coordinator has written the plan.
    standby_until: Duration,
    slowdown_publisher: Publisher,
    /// Until this time orders are assumed to get lost.
    lossy_until: Duration,
    /// Ranks whose rebalancer is bypassed, and until when.
    unresponsive_until: BTreeMap<usize, Duration>,
    last_counts_at: Duration,
    /// The maps of all layers that the group uses, with their epoch and version.
    current: Option<(u64, Version, Arc<Assignment>)>,
}

impl Coordinator {
    /// Creates a coordinator that is on standby.
    pub fn new(
        settings: Settings,
        interface: Interface,
        responder: Arc<Responder>,
        objects: Arc<Objects>,
        clock: clock::Shared,
        journal: Journal,
    ) -> Self {
        let slowdown_publisher = Publisher::new(&settings, objects.clone(), journal.clone());
        Self {
            settings,
            interface,
            responder,
            objects,
            clock,
            journal,
            members: BTreeMap::new(),
            last_lookup: None,
            lookup_needed: false,
            shape: None,
            popularity: Estimator::new(),
            stored_plan: None,
            plan: None,
            plan_loaded: false,
            plan_era: None,
            last_sent: BTreeMap::new(),
            standby_until: Duration::ZERO,
            slowdown_publisher,
            lossy_until: Duration::ZERO,
            unresponsive_until: BTreeMap::new(),
            last_counts_at: Duration::ZERO,
            current: None,
        }
    }

    /// Coordinates the group whenever this rank is its coordinator, until the task is aborted.
    pub async fn run(mut self) {
        let mut election = Election::new();
        loop {
            let report = self.responder.engine().fetch_report().await;
            if let Ok(report) = &report {
                self.slowdown_publisher.publish(report.slowdown).await;
            }
            let pause = match report {
                Ok(report) => {
                    if election.should_coordinate(
                        &report,
                        self.responder.last_contact(),
                        self.clock.now(),
                    ) {
                        self.run_round(&report).await
                    } else {
                        self.stand_by();
                        IDLE_INTERVAL
                    }
                }
                Err(error) => {
                    log::debug!("cannot read the report of the local engine: {error}");
                    election.note_engine_unreachable();
                    self.stand_by();
                    IDLE_INTERVAL
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn stand_by(&mut self) {
        self.plan_loaded = false;
        self.plan = None;
        self.last_sent.clear();
    }

    /// Runs one round and returns the pause before the next one.
    async fn run_round(&mut self, own: &Report) -> Duration {
        if self.clock.now() < self.standby_until {
            return IDLE_INTERVAL;
        }
        if let Err(error) = self.refresh_members(own).await {
            self.journal.record(Priority::Important, "no_members", json!({ "fault": error }));
            return IDLE_INTERVAL;
        }
        if self.plan_loaded && self.plan_era < self.objects.era() {
            // The store was restored from a copy and may lack the plan in progress.
            self.plan_loaded = false;
        }
        if !self.plan_loaded {
            match self.objects.get(KIND, &own.group).await {
                Ok(object) => {
                    let stored = object.as_ref().and_then(read_current_plan);
                    self.plan = stored;
                    self.stored_plan = object;
                    self.plan_loaded = true;
                    self.plan_era = self.objects.era();
                    if self.stored_plan.is_none() && !self.create_plan_object(own).await {
                        return IDLE_INTERVAL;
                    }
                }
                Err(error) => {
                    let fields = json!({ "fault": error.current_context().to_string() });
                    self.journal.record(Priority::Important, "plan_unread", fields);
                    return IDLE_INTERVAL;
                }
            }
        }
        match self.plan.take() {
            Some(plan) if plan.epoch == own.epoch => self.advance_plan(own, plan).await,
            _ => self.propose_plan(own).await,
        }
    }

    /// Refreshes the addresses of the other ranks and the shape of the model's experts from the
    /// store.
    async fn refresh_members(&mut self, own: &Report) -> Result<(), String> {
        let now = self.clock.now();
        let complete = self.members.len() == own.size && self.shape.is_some();
        let due = self.last_lookup.is_none_or(|last| now >= last + LOOKUP_INTERVAL);
        if complete && !self.lookup_needed || !due {
            return if complete { Ok(()) } else { Err("ranks are missing".to_string()) };
        }
        self.last_lookup = Some(now);
        self.lookup_needed = false;
        let describe = |error: error_stack::Report<filberttrail_kernel::Error>| {
            error.current_context().to_string()
        };
        let (members, _) = self.objects.list(self.interface.member_kind).await.map_err(describe)?;
        self.members = members
            .iter()
            .filter_map(|object| (self.interface.read_member)(&object.value))
            .filter(|member| member.group == own.group)
            .map(|member| (member.rank, member.address))
            .collect();
        let (kind, name) = self.interface.configuration;
        let configuration = self.objects.get(kind, name).await.map_err(describe)?;
        let value = configuration.map(|object| object.value).unwrap_or_default();
        self.shape = (self.interface.read_shape)(&value, &self.settings.service);
        Ok(())
    }

    /// Requests the state of every rank.
    async fn query_all(&mut self, own: &Report, counts: bool, holding: bool) -> Round {
        let ranks: Vec<usize> = (0..own.size).collect();
        self.call_ranks(own, &ranks, Query::State { counts, holding }).await
    }

    /// Sends a query to ranks: to the local engine directly, and to the other ranks through relays.
    /// A rank whose rebalancer did not respond shortly before is called at its engine.
    async fn call_ranks(&mut self, own: &Report, ranks: &[usize], query: Query) -> Round {
        let now = self.clock.now();
        let bypassed =
            |rank: &usize| self.unresponsive_until.get(rank).is_some_and(|until| now < *until);
        let others = ranks.iter().copied().filter(|rank| *rank != own.rank);
        let (direct, relayed): (Vec<usize>, Vec<usize>) = others.partition(bypassed);
        let member = |rank: usize| Some(Member(rank, *self.members.get(&rank)?));
        let responder = &self.responder;
        let branches = fanout::split(&relayed).into_iter().filter_map(|branch| {
            let members = branch.members.into_iter().filter_map(member).collect();
            let call = Call { coordinator: own.rank, query: query.clone(), members };
            let relay = member(branch.relay)?;
            Some(async move { responder.call_relay(relay, &call).await })
        });
        let direct = direct.into_iter().filter_map(member);
        let direct = direct.map(|member| responder.call_engine(member, &query));
        let local = async {
            match ranks.contains(&own.rank) {
                true => responder.execute_as(own.rank, &query).await,
                false => Replies::default(),
            }
        };
        let (mut replies, relayed, direct) =
            futures::join!(local, join_all(branches), join_all(direct));
        relayed.into_iter().chain(direct).for_each(|part| replies.merge(part));
        for (rank, reply) in &replies.ranks {
            if !reply.bypassed {
                self.unresponsive_until.remove(rank);
            } else if self.unresponsive_until.get(rank).is_none_or(|until| now >= *until) {
                self.unresponsive_until.insert(*rank, now + UNRESPONSIVE_PERIOD);
            }
        }
        Round::new(own, replies)
    }

    /// Performs the next steps of the plan and returns the pause before the next round.
    async fn advance_plan(&mut self, own: &Report, plan: Plan) -> Duration {
        let counts =
            plan.switch_pass.is_none() && self.clock.now() > self.last_counts_at + IDLE_INTERVAL;
        let round = self.query_all(own, counts, false).await;
        if counts {
            self.record_counts(&round);
        }
        let mut reports = round.reports;
        if reports.iter().any(Option::is_none) {
            // A rank that did not report may have moved to another address.
            self.lookup_needed = true;
        }
        // The replies to orders contain reports, so the steps of a switch follow each other without
        // further queries.
        for _ in 0..STEPS_PER_ROUND {
            let lossy = self.clock.now() < self.lossy_until;
            let switch_lead = if lossy { rollout::SWITCH_LEAD_LOSSY } else { rollout::SWITCH_LEAD };
            match rollout::next_step(&plan, &reports, switch_lead) {
                Step::Wait => break,
                Step::Send(orders) => {
                    let copying =
                        orders.iter().all(|(_, order)| matches!(order, Order::Prepare { .. }));
                    let updated = self.send_orders(own, &plan, orders).await;
                    if copying {
                        self.plan = Some(plan);
                        return COPY_INTERVAL;
                    }
                    if updated.iter().all(Option::is_none) {
                        break;
                    }
                    for (report, updated) in reports.iter_mut().zip(updated) {
                        *report = updated.or_else(|| report.take());
                    }
                }
                Step::Schedule(pass) => {
                    let plan = Plan { switch_pass: Some(pass), holder: own.rank, ..plan };
                    self.write_plan(own, plan).await;
                    return Duration::ZERO;
                }
                Step::Done => {
                    let fields = json!({
                        "group": own.group, "epoch": plan.epoch, "version": plan.version,
                        "switch": plan.switch_pass,
                    });
                    self.journal.record(Priority::Important, "map_switched", fields);
                    self.last_sent.clear();
                    // An adopted plan has no map; the map in use is read from the ranks then.
                    self.current =
                        (!plan.map.is_empty()).then_some((plan.epoch, plan.version, plan.map));
                    return Duration::ZERO;
                }
                Step::Stale => {
                    let fields = json!({
                        "group": own.group, "epoch": plan.epoch, "version": plan.version,
                    });
                    self.journal.record(Priority::Important, "plan_over", fields);
                    self.last_sent.clear();
                    return IDLE_INTERVAL;
                }
            }
        }
        self.plan = Some(plan);
        SWITCH_INTERVAL
    }

    /// Sends the orders that are due and returns the reports of the ranks that got one, by rank.
    async fn send_orders(
        &mut self,
        own: &Report,
        plan: &Plan,
        orders: Vec<(usize, Order)>,
    ) -> Vec<Option<Report>> {
        let now = self.clock.now();
        let due = |(rank, order): &(usize, Order)| {
            let last = self.last_sent.get(rank);
            !last.is_some_and(|(last, at)| last == order && now < *at + choose_retry_delay(order))
        };
        let orders: Vec<(usize, Order)> = orders.into_iter().filter(due).collect();
        let mut reports = vec![None; own.size];
        for batch in orders.chunk_by(|one, other| one.1 == other.1) {
            let Some((_, order)) = batch.first() else { continue };
            let ranks: Vec<usize> = batch.iter().map(|(rank, _)| *rank).collect();
            let envelope = Envelope { epoch: plan.epoch, order: order.clone() };
            let round = self.call_ranks(own, &ranks, Query::Order(envelope)).await;
            let statuses: Vec<_> = ranks.iter().map(|rank| round.status(*rank)).collect();
            if statuses.iter().any(Option::is_none) {
                self.lossy_until = now + LOSSY_PERIOD;
            }
            let refused: Vec<_> =
                ranks.iter().zip(&statuses).filter(|(_, status)| **status != Some(202)).collect();
            let fields = json!({
                "group": own.group, "epoch": plan.epoch, "version": plan.version,
                "order": describe_order(order), "pass": plan.switch_pass, "ranks": ranks.len(),
                "not_begun": refused.iter().take(LOGGED_RANKS).collect::<Vec<_>>(),
                "fault": round.first_error(),
            });
            self.journal.record(Priority::Important, "order", fields);
            for (rank, status) in ranks.iter().zip(&statuses) {
                let delay = if status.is_some() { Duration::ZERO } else { ORDER_RETRY_DELAY * 20 };
                self.last_sent.insert(*rank, (order.clone(), now.saturating_sub(delay)));
            }
            for (report, updated) in reports.iter_mut().zip(round.reports) {
                *report = updated.or_else(|| report.take());
            }
        }
        reports
    }

    /// Adds the ranks' expert counts to the popularity estimate.
    fn record_counts(&mut self, round: &Round) {
        let Some(shape) = &self.shape else { return };
        self.last_counts_at = self.clock.now();
        let ranks = round.reports.iter().flatten().count();
        self.popularity.observe(self.last_counts_at, &round.counts, shape.layers, ranks);
    }

    /// Computes a better map and writes a plan for it if the expected gain justifies the copies.
    async fn propose_plan(&mut self, own: &Report) -> Duration {
        let Some(shape) = self.shape.clone() else { return IDLE_INTERVAL };
        let known = self
            .current
            .as_ref()
            .is_some_and(|(epoch, version, _)| (*epoch, *version) == (own.epoch, own.map));
        let round = self.query_all(own, true, !known).await;
        self.record_counts(&round);
        let orphaned_hold = rollout::find_orphaned_hold(&round.reports, None);
        if let Some(plan) = rollout::adopt(&round.reports, own.epoch, own.rank) {
            let fields = json!({
                "group": own.group, "epoch": own.epoch, "version": plan.version,
                "switch": plan.switch_pass,
            });
            self.journal.record(Priority::Important, "plan_adopted", fields);
            self.write_plan(own, plan).await;
            return Duration::ZERO;
        }
        let uses_map = |report: &Option<Report>| {
            report.as_ref().is_some_and(|report| (report.epoch, report.map) == (own.epoch, own.map))
        };
        if !round.reports.iter().all(uses_map) {
            self.lookup_needed |= round.reports.iter().any(Option::is_none);
            return IDLE_INTERVAL;
        }
        if !known {
            match round.read_map(own, &shape) {
                Some(map) => self.current = Some((own.epoch, own.map, Arc::new(map))),
                None => return IDLE_INTERVAL,
            }
        }
        let Some((_, _, map)) = &self.current else { return IDLE_INTERVAL };
        let is_valid = |ranks: &Vec<Vec<u32>>| {
            ranks.iter().flatten().all(|expert| (*expert as usize) < shape.experts)
        };
        if !map.iter().all(is_valid) {
            let fields = json!({ "group": own.group, "map": own.map, "experts": shape.experts });
            self.journal.record(Priority::Important, "unreadable_map", fields);
            self.current = None;
            return IDLE_INTERVAL;
        }
        let layer =
            |ranks: &Vec<Vec<u32>>| Map { experts: shape.experts as u32, ranks: ranks.clone() };
        let maps: Vec<Map> = map.iter().map(layer).collect();
        let slowdowns: Vec<f64> =
            round.reports.iter().flatten().map(|report| report.slowdown).collect();
        let proposal = Proposal::new(&proposal::Inputs {
            maps: &maps,
            popularity: self.popularity.layers(),
            slowdowns: &slowdowns,
            shape: &shape,
            lossy: self.clock.now() < self.lossy_until,
            is_held: orphaned_hold.is_some(),
        });
        let Some(Proposal { maps: better, pass_times }) = proposal else { return IDLE_INTERVAL };
        let copies: usize =
            better.iter().zip(&maps).map(|(better, map)| better.moves_from(map)).sum();
        let slow: Vec<(usize, f64)> =
            slowdowns.into_iter().enumerate().filter(|(_, slowdown)| *slowdown > 1.0).collect();
        let skew = |time: f64| time / shape.layers as f64;
        let fields = json!({
            "group": own.group, "epoch": own.epoch, "map": own.map, "copies": copies, "paces": slow,
            "skew_before": pass_times.map(|(before, _)| skew(before)),
            "skew_after": pass_times.map(|(_, after)| skew(after)),
            "orphaned_hold": orphaned_hold,
        });
        self.journal.record(Priority::Important, "plan", fields);
        let map = Arc::new(better.into_iter().map(|map| map.ranks).collect());
        let plan = Plan {
            epoch: own.epoch,
            version: 0,
            map,
            switch_pass: None,
            holder: own.rank,
            writer: String::new(),
        };
        if self.write_plan(own, plan).await { Duration::ZERO } else { IDLE_INTERVAL }
    }

    /// Creates the store object for the group's plans. Its revision determines the first map
    /// version.
    async fn create_plan_object(&mut self, own: &Report) -> bool {
        self.put_plan(own, &Value::Null, None).await
    }

    /// Writes the plan on condition that the stored object is unchanged. A new plan, which has
    /// version 0, gets the version that follows the object's revision.
    async fn write_plan(&mut self, own: &Report, plan: Plan) -> bool {
        let Some(expected_revision) = self.stored_plan.as_ref().map(|object| object.revision)
        else {
            return false;
        };
        let version = if plan.version == 0 { expected_revision + 1 } else { plan.version };
        let plan = Plan { version, writer: self.settings.name.clone(), ..plan };
        let value = match serde_json::to_value(&plan) {
            Ok(value) => value,
            Err(error) => {
                log::error!("cannot encode the plan as JSON: {error}");
                return false;
            }
        };
        let written = self.put_plan(own, &value, Some(expected_revision)).await;
        self.plan = written.then_some(plan);
        written
    }

    async fn put_plan(
        &mut self,
        own: &Report,
        value: &Value,
        expected_revision: Option<Revision>,
    ) -> bool {
        match self.objects.put(KIND, &own.group, value, expected_revision).await {
            Ok(Written::Done(object)) => {
                self.stored_plan = Some(object);
                true
            }
            Ok(Written::Conflict(_)) => {
                let fields = json!({ "group": own.group, "held": expected_revision });
                self.journal.record(Priority::Important, "plan_conflict", fields);
                self.stand_by();
                self.standby_until = self.clock.now() + TAKEOVER_TIMEOUT;
                false
            }
            Err(error) => {
                // The write may have taken effect, so the next round reads the plan from the
                // store.
                let fields = json!({ "fault": error.current_context().to_string() });
                self.journal.record(Priority::Important, "plan_unwritten", fields);
                self.stand_by();
                false
            }
        }
    }
}

/// Decodes a stored plan. A plan from before a restore of the store is not continued, because the
/// copy may lack its schedule; `rollout::adopt` continues it from what the ranks report.
fn read_current_plan(object: &Object) -> Option<Plan> {
    let plan: Plan = serde_json::from_value(object.value.clone()).ok()?;
    plan.is_current(object.revision).then_some(plan)
}

fn choose_retry_delay(order: &Order) -> Duration {
    match order {
        // Ranks copy for some tenths of a second before they report a map as prepared.
        Order::Prepare { .. } => ORDER_RETRY_DELAY * 20,
        _ => ORDER_RETRY_DELAY,
    }
}

fn describe_order(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Disarm { .. } => "disarm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}
