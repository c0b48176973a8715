//! Coordinates the move of a lock-step group from one expert map to the next.

use crate::election::{Election, TAKEOVER_TIMEOUT};
use crate::engine::Engine;
use crate::order::{Envelope, Order};
use crate::peer::{self, Call, Reply, Responder};
use crate::plan::Plan;
use crate::popularity::Estimator;
use crate::report::{Report, Shape};
use crate::rollout::{self, Step};
use crate::slowdown::Publisher;
use crate::{Interface, Settings};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_place::{Map, spread};
use filberttrail_store::Objects;
use filberttrail_store::feed::{Object, Revision, Written};
use filberttrail_web::Client;
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
/// Minimum interval between two lookups of the ranks' addresses in the store.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum relative reduction of the pass time that justifies a change. Copying slows passes by
/// about 15% while it lasts, and expert popularity is stable only for some seconds.
const MIN_GAIN: f64 = 0.06;
/// Minimum relative reduction while orders get no responses. A switch may then block the group at
/// its hold, which delays the group's streams.
const MIN_GAIN_LOSSY: f64 = 0.25;
/// Time that a rank may spend on copying expert weights for one change, in seconds.
const COPY_TIME_BUDGET: f64 = 0.4;

/// The coordinating part of a rebalancer. It acts only while its rank is the group's coordinator.
pub struct Coordinator {
    settings: Settings,
    interface: Interface,
    responder: Arc<Responder>,
    objects: Arc<Objects>,
    clock: clock::Shared,
    journal: Journal,
    client: Client,
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
            client: Client::new(),
            members: BTreeMap::new(),
            last_lookup: None,
            lookup_needed: false,
            shape: None,
            popularity: Estimator::new(),
            stored_plan: None,
            plan: None,
            plan_loaded: false,
            last_sent: BTreeMap::new(),
            standby_until: Duration::ZERO,
            slowdown_publisher,
            lossy_until: Duration::ZERO,
            unresponsive_until: BTreeMap::new(),
            last_counts_at: Duration::ZERO,
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
        if !self.plan_loaded {
            match self.objects.get(KIND, &own.group).await {
                Ok(object) => {
                    self.plan = object.as_ref().and_then(decode_plan);
                    self.stored_plan = object;
                    self.plan_loaded = true;
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

    /// Requests the state of every rank. The local engine is called directly, and the other ranks
    /// through their rebalancers. A rank whose rebalancer does not respond is called at its
    /// engine.
    async fn query_all(&self, own: &Report, counts: bool, holding: bool) -> Vec<Option<Reply>> {
        let calls = (0..own.size).map(|rank| {
            self.call_rank(own.rank, rank, Call::State { coordinator: own.rank, counts, holding })
        });
        join_all(calls).await
    }

    async fn call_rank(&self, own: usize, rank: usize, call: Call) -> Option<Reply> {
        if rank == own {
            return Some(Reply { by_rebalancer: true, ..self.responder.execute(call).await });
        }
        let engine = *self.members.get(&rank)?;
        if self.unresponsive_until.get(&rank).is_some_and(|until| self.clock.now() < *until) {
            return self.call_engine(engine, call).await;
        }
        let address = SocketAddr::new(engine.ip(), self.settings.listen.port());
        match peer::send_call(&self.client, address, &call).await {
            Ok(reply) => Some(Reply { by_rebalancer: true, ..reply }),
            Err(error) => {
                log::debug!("rebalancer of rank {rank} failed, calling its engine: {error}");
                self.call_engine(engine, call).await
            }
        }
    }

    /// Calls the engine of a rank whose rebalancer does not respond. Its report may be slightly
    /// outdated, which only delays decisions.
    async fn call_engine(&self, address: SocketAddr, call: Call) -> Option<Reply> {
        let engine = Engine::new(address, self.interface.clone());
        match call {
            Call::State { .. } => {
                let report = engine.fetch_report().await.ok()?;
                Some(Reply { report: Some(report), ..Reply::default() })
            }
            Call::Order { envelope, .. } => {
                let status = engine.send_order(&envelope).await.ok();
                Some(Reply { status, ..Reply::default() })
            }
        }
    }

    fn collect_reports(&mut self, own: &Report, replies: &[Option<Reply>]) -> Vec<Option<Report>> {
        let now = self.clock.now();
        for (rank, reply) in replies.iter().enumerate() {
            if reply.as_ref().is_some_and(|reply| reply.by_rebalancer) {
                self.unresponsive_until.remove(&rank);
            } else if self.unresponsive_until.get(&rank).is_none_or(|until| now >= *until) {
                self.unresponsive_until.insert(rank, now + UNRESPONSIVE_PERIOD);
            }
        }
        let report = |(rank, reply): (usize, &Option<Reply>)| {
            let report = reply.as_ref()?.report.clone()?;
            (report.rank == rank && report.group == own.group).then_some(report)
        };
        replies.iter().enumerate().map(report).collect()
    }

    /// Performs the next step of the plan and returns the pause before the next round.
    async fn advance_plan(&mut self, own: &Report, plan: Plan) -> Duration {
        let counts =
            plan.switch_pass.is_none() && self.clock.now() > self.last_counts_at + IDLE_INTERVAL;
        let replies = self.query_all(own, counts, false).await;
        if counts {
            self.record_counts(&replies);
        }
        let reports = self.collect_reports(own, &replies);
        if reports.iter().any(Option::is_none) {
            // A rank that did not report may have moved to another address.
            self.lookup_needed = true;
        }
        let lossy = self.clock.now() < self.lossy_until;
        let switch_lead = if lossy { rollout::SWITCH_LEAD_LOSSY } else { rollout::SWITCH_LEAD };
        match rollout::next_step(&plan, &reports, switch_lead) {
            Step::Wait => {
                self.plan = Some(plan);
                SWITCH_INTERVAL
            }
            Step::Send(orders) => {
                let copying =
                    orders.iter().all(|(_, order)| matches!(order, Order::Prepare { .. }));
                self.send_orders(own, &plan, orders).await;
                self.plan = Some(plan);
                if copying { COPY_INTERVAL } else { SWITCH_INTERVAL }
            }
            Step::Schedule(pass) => {
                let plan = Plan { switch_pass: Some(pass), holder: own.rank, ..plan };
                self.write_plan(own, plan).await;
                Duration::ZERO
            }
            Step::Done => {
                let fields = json!({
                    "group": own.group, "epoch": plan.epoch, "version": plan.version,
                    "switch": plan.switch_pass,
                });
                self.journal.record(Priority::Important, "map_switched", fields);
                self.last_sent.clear();
                self.propose_plan(own).await
            }
            Step::Stale => {
                let fields = json!({
                    "group": own.group, "epoch": plan.epoch, "version": plan.version,
                });
                self.journal.record(Priority::Important, "plan_over", fields);
                self.last_sent.clear();
                IDLE_INTERVAL
            }
        }
    }

    async fn send_orders(&mut self, own: &Report, plan: &Plan, orders: Vec<(usize, Order)>) {
        let now = self.clock.now();
        let due = |(rank, order): &(usize, Order)| {
            let last = self.last_sent.get(rank);
            !last.is_some_and(|(last, at)| last == order && now < *at + choose_retry_delay(order))
        };
        let orders: Vec<(usize, Order)> = orders.into_iter().filter(due).collect();
        let epoch = plan.epoch;
        let sends = orders.iter().map(|(rank, order)| {
            let envelope = Envelope { epoch, order: order.clone() };
            self.call_rank(own.rank, *rank, Call::Order { coordinator: own.rank, envelope })
        });
        let replies = join_all(sends).await;
        for ((rank, order), reply) in orders.into_iter().zip(replies) {
            let status = reply.as_ref().and_then(|reply| reply.status);
            if status.is_none() {
                self.lossy_until = now + LOSSY_PERIOD;
            }
            let fields = json!({
                "group": own.group, "epoch": epoch, "rank": rank, "version": plan.version,
                "order": describe_order(&order), "pass": plan.switch_pass, "status": status,
                "fault": reply.and_then(|reply| reply.error),
            });
            self.journal.record(Priority::Important, "order", fields);
            let sent_at =
                if status.is_some() { now } else { now.saturating_sub(ORDER_RETRY_DELAY * 20) };
            self.last_sent.insert(rank, (order, sent_at));
        }
    }

    /// Adds the ranks' expert counts to the popularity estimate.
    fn record_counts(&mut self, replies: &[Option<Reply>]) {
        let Some(shape) = &self.shape else { return };
        let counts: Vec<_> = replies
            .iter()
            .flatten()
            .filter_map(|reply| Some((reply.report.as_ref()?.rank, reply.counts.clone()?)))
            .collect();
        self.last_counts_at = self.clock.now();
        self.popularity.observe(self.last_counts_at, &counts, shape.layers);
    }

    /// Computes a better map and writes a plan for it if the expected gain justifies the copies.
    async fn propose_plan(&mut self, own: &Report) -> Duration {
        let Some(shape) = self.shape.clone() else { return IDLE_INTERVAL };
        let replies = self.query_all(own, true, true).await;
        let reports = self.collect_reports(own, &replies);
        let orphaned_hold = rollout::find_orphaned_hold(&reports, None);
        self.record_counts(&replies);
        let replies: Vec<Reply> = replies.into_iter().flatten().collect();
        let holdings: Vec<_> = replies.iter().filter_map(|reply| reply.holding.as_ref()).collect();
        let is_current = |holding: &&crate::report::Holding| {
            holding.epoch == own.epoch && holding.version == own.map
        };
        let complete = reports.iter().all(Option::is_some) && holdings.len() == own.size;
        if !complete || !holdings.iter().all(is_current) {
            self.lookup_needed |= !complete;
            return IDLE_INTERVAL;
        }
        let maps = (0..shape.layers).map(|layer| Map {
            experts: shape.experts as u32,
            ranks: holdings
                .iter()
                .map(|holding| holding.layers.get(layer).cloned().unwrap_or_default())
                .collect(),
        });
        let maps: Vec<Map> = maps.collect();
        let popularity = self.popularity.layers();
        if popularity.len() != shape.layers {
            return IDLE_INTERVAL;
        }
        let copies = (COPY_TIME_BUDGET / shape.copy_time.max(f64::MIN_POSITIVE)).floor();
        let constraints = spread::Constraints {
            slots: shape.slots,
            copies_per_layer: shape.copies,
            copies_per_rank: copies.clamp(1.0, 1_000.0) as usize,
        };
        let slowdowns: Vec<f64> = reports.iter().flatten().map(|report| report.slowdown).collect();
        let better = spread::spread(&maps, popularity, &slowdowns, &constraints);
        let before = spread::compute_pass_time(&maps, popularity, &slowdowns);
        let after = spread::compute_pass_time(&better, popularity, &slowdowns);
        // An orphaned hold is released only by a switch, so it justifies a new plan without any
        // gain.
        let lossy = self.clock.now() < self.lossy_until;
        let min_gain = if lossy { MIN_GAIN_LOSSY } else { MIN_GAIN };
        if after > before * (1.0 - min_gain) && orphaned_hold.is_none() {
            return IDLE_INTERVAL;
        }
        let copies: usize =
            better.iter().zip(&maps).map(|(better, map)| better.moves_from(map)).sum();
        let fields = json!({
            "group": own.group, "epoch": own.epoch, "map": own.map, "copies": copies, "paces": slowdowns,
            "skew_before": before / shape.layers as f64, "skew_after": after / shape.layers as f64,
        });
        self.journal.record(Priority::Important, "plan", fields);
        let map = better.into_iter().map(|map| map.ranks).collect();
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

fn decode_plan(object: &Object) -> Option<Plan> {
    serde_json::from_value(object.value.clone()).ok()
}

fn choose_retry_delay(order: &Order) -> Duration {
    match order {
        // Ranks copy for some tenths of a second before they report a map as prepared.
        Order::Prepare { .. } => ORDER_RETRY_DELAY * 20,
        Order::Go { .. } | Order::Arm { .. } | Order::Hold { .. } => ORDER_RETRY_DELAY,
    }
}

fn describe_order(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}
