//! Drives a group from one map to the next.

use crate::engine::Engine;
use crate::order::{Envelope, Order};
use crate::peer::{self, Ask, Rank, Told};
use crate::plan::Plan;
use crate::report::{Report, Shape};
use crate::rollout::{self, Step};
use crate::tally::Tally;
use crate::teller::Teller;
use crate::turn::{TAKE_OVER, Turn};
use crate::{Interface, Settings};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Weight;
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

/// The kind of object that holds plans, one a group.
pub const KIND: &str = "filberttrail-plans";
/// The pause between two rounds while nothing is under way; also the window of counts.
const IDLE_ROUND: Duration = Duration::from_millis(200);
/// The pause between two rounds while ranks copy.
const COPY_ROUND: Duration = Duration::from_millis(50);
/// The pause between two rounds of a switch.
const SWITCH_ROUND: Duration = Duration::from_millis(4);
/// How long an order that got no answer is left alone before it is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(60);
/// How long switches are settled further ahead after an order got no answer.
const LOST_FOR: Duration = Duration::from_millis(5_000);
/// How long a rebalancer that did not answer is passed over; its engine is asked directly.
const SILENT_FOR: Duration = Duration::from_millis(1_000);
/// The pause between two looks for the ranks' addresses.
const LOOK_PERIOD: Duration = Duration::from_millis(1_000);
/// How much shorter the pass has to become for a change: copies slow passes by about 15 in 100
/// while they last, and popularity lasts some seconds.
const GAIN_MINIMUM: f64 = 0.06;
/// The same while orders get no answers: a switch may then hold the group up, and make its streams
/// late.
const GAIN_MINIMUM_LOST: f64 = 0.25;
/// The time that a rank may spend on copies for one change.
const COPY_TIME: f64 = 0.4;

/// The coordinating side of a rebalancer.
pub struct Coordinator {
    settings: Settings,
    interface: Interface,
    rank: Arc<Rank>,
    objects: Arc<Objects>,
    clock: clock::Shared,
    journal: Journal,
    client: Client,
    members: BTreeMap<usize, SocketAddr>,
    looked: Option<Duration>,
    look_again: bool,
    shape: Option<Shape>,
    tally: Tally,
    held: Option<Object>,
    plan: Option<Plan>,
    read_plan: bool,
    given: BTreeMap<usize, (Order, Duration)>,
    quiet_until: Duration,
    teller: Teller,
    lost_until: Duration,
    silent: BTreeMap<usize, Duration>,
    counted: Duration,
}

impl Coordinator {
    /// Makes a coordinator that does not yet coordinate.
    pub fn new(
        settings: Settings,
        interface: Interface,
        rank: Arc<Rank>,
        objects: Arc<Objects>,
        clock: clock::Shared,
        journal: Journal,
    ) -> Self {
        let teller = Teller::new(&settings, objects.clone(), journal.clone());
        Self {
            settings,
            interface,
            rank,
            objects,
            clock,
            journal,
            client: Client::new(),
            members: BTreeMap::new(),
            looked: None,
            look_again: false,
            shape: None,
            tally: Tally::new(),
            held: None,
            plan: None,
            read_plan: false,
            given: BTreeMap::new(),
            quiet_until: Duration::ZERO,
            teller,
            lost_until: Duration::ZERO,
            silent: BTreeMap::new(),
            counted: Duration::ZERO,
        }
    }

    /// Coordinates whenever it is this rank's turn, until the task is ended.
    pub async fn run(mut self) {
        let mut turn = Turn::new();
        loop {
            let report = self.rank.engine().report().await;
            if let Ok(report) = &report {
                self.teller.tell(report.slowdown).await;
            }
            let pause = match report {
                Ok(report) => {
                    if turn.is_mine(&report, self.rank.heard(), self.clock.now()) {
                        self.round(&report).await
                    } else {
                        self.stand_by();
                        IDLE_ROUND
                    }
                }
                Err(fault) => {
                    log::debug!("the engine does not report: {fault}");
                    turn.note_silence();
                    self.stand_by();
                    IDLE_ROUND
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn stand_by(&mut self) {
        self.read_plan = false;
        self.plan = None;
        self.given.clear();
    }

    /// Does one round, and returns the pause until the next.
    async fn round(&mut self, own: &Report) -> Duration {
        if self.clock.now() < self.quiet_until {
            return IDLE_ROUND;
        }
        if let Err(fault) = self.look(own).await {
            self.journal.note(Weight::Important, "no_members", json!({ "fault": fault }));
            return IDLE_ROUND;
        }
        if !self.read_plan {
            match self.objects.get(KIND, &own.group).await {
                Ok(object) => {
                    self.plan = object.as_ref().and_then(read_plan);
                    self.held = object;
                    self.read_plan = true;
                    if self.held.is_none() && !self.create(own).await {
                        return IDLE_ROUND;
                    }
                }
                Err(fault) => {
                    let fields = json!({ "fault": fault.current_context().to_string() });
                    self.journal.note(Weight::Important, "plan_unread", fields);
                    return IDLE_ROUND;
                }
            }
        }
        match self.plan.take() {
            Some(plan) if plan.epoch == own.epoch => self.drive(own, plan).await,
            _ => self.consider(own).await,
        }
    }

    /// Finds out where the other ranks are, and what the model's experts are like.
    async fn look(&mut self, own: &Report) -> Result<(), String> {
        let now = self.clock.now();
        let known = self.members.len() == own.size && self.shape.is_some();
        let due = self.looked.is_none_or(|looked| now >= looked + LOOK_PERIOD);
        if known && !self.look_again || !due {
            return if known { Ok(()) } else { Err("ranks are missing".to_string()) };
        }
        self.looked = Some(now);
        self.look_again = false;
        let text = |fault: error_stack::Report<filberttrail_kernel::Error>| {
            fault.current_context().to_string()
        };
        let (members, _) = self.objects.list(self.interface.member_kind).await.map_err(text)?;
        self.members = members
            .iter()
            .filter_map(|object| (self.interface.read_member)(&object.value))
            .filter(|member| member.group == own.group)
            .map(|member| (member.rank, member.address))
            .collect();
        let (kind, name) = self.interface.configuration;
        let configuration = self.objects.get(kind, name).await.map_err(text)?;
        let value = configuration.map(|object| object.value).unwrap_or_default();
        self.shape = (self.interface.read_shape)(&value, &self.settings.service);
        Ok(())
    }

    /// Asks every rank the same; own engine directly, the others through their rebalancers, or
    /// directly where these do not answer and `directly` allows it.
    async fn ask_all(&self, own: &Report, counts: bool, holding: bool) -> Vec<Option<Told>> {
        let asks = (0..own.size)
            .map(|rank| self.ask(own.rank, rank, Ask::State { by: own.rank, counts, holding }));
        join_all(asks).await
    }

    async fn ask(&self, own: usize, rank: usize, ask: Ask) -> Option<Told> {
        if rank == own {
            return Some(Told { by_rebalancer: true, ..self.rank.tell(ask).await });
        }
        let engine = *self.members.get(&rank)?;
        if self.silent.get(&rank).is_some_and(|until| self.clock.now() < *until) {
            return self.ask_engine(engine, ask).await;
        }
        let address = SocketAddr::new(engine.ip(), self.settings.listen.port());
        match peer::ask(&self.client, address, &ask).await {
            Ok(told) => Some(Told { by_rebalancer: true, ..told }),
            Err(fault) => {
                log::debug!("rank {rank} does not answer: {fault}");
                self.ask_engine(engine, ask).await
            }
        }
    }

    /// Asks an engine whose rebalancer does not answer. Its report is a little old then, which only
    /// delays decisions.
    async fn ask_engine(&self, address: SocketAddr, ask: Ask) -> Option<Told> {
        let engine = Engine::new(address, self.interface.clone());
        match ask {
            Ask::State { .. } => {
                let report = engine.report().await.ok()?;
                Some(Told { report: Some(report), ..Told::default() })
            }
            Ask::Give { envelope, .. } => {
                let status = engine.give(&envelope).await.ok();
                Some(Told { status, ..Told::default() })
            }
        }
    }

    fn reports(&mut self, own: &Report, told: &[Option<Told>]) -> Vec<Option<Report>> {
        let now = self.clock.now();
        for (rank, told) in told.iter().enumerate() {
            if told.as_ref().is_some_and(|told| told.by_rebalancer) {
                self.silent.remove(&rank);
            } else if self.silent.get(&rank).is_none_or(|until| now >= *until) {
                self.silent.insert(rank, now + SILENT_FOR);
            }
        }
        let report = |(rank, told): (usize, &Option<Told>)| {
            let report = told.as_ref()?.report.clone()?;
            (report.rank == rank && report.group == own.group).then_some(report)
        };
        told.iter().enumerate().map(report).collect()
    }

    /// Takes one step of the plan.
    async fn drive(&mut self, own: &Report, plan: Plan) -> Duration {
        let counts = plan.switch.is_none() && self.clock.now() > self.counted + IDLE_ROUND;
        let told = self.ask_all(own, counts, false).await;
        if counts {
            self.count(&told);
        }
        let reports = self.reports(own, &told);
        if reports.iter().any(Option::is_none) {
            // A rank may have moved to another address.
            self.look_again = true;
        }
        let lost = self.clock.now() < self.lost_until;
        let after = if lost { rollout::SWITCH_AFTER_LOST } else { rollout::SWITCH_AFTER };
        match rollout::next(&plan, &reports, after) {
            Step::Wait => {
                self.plan = Some(plan);
                SWITCH_ROUND
            }
            Step::Give(orders) => {
                let copying =
                    orders.iter().all(|(_, order)| matches!(order, Order::Prepare { .. }));
                self.give_all(own, &plan, orders).await;
                self.plan = Some(plan);
                if copying { COPY_ROUND } else { SWITCH_ROUND }
            }
            Step::Settle(pass) => {
                let plan = Plan { switch: Some(pass), holder: own.rank, ..plan };
                self.write(own, plan).await;
                Duration::ZERO
            }
            Step::Done => {
                let fields = json!({
                    "group": own.group, "epoch": plan.epoch, "version": plan.version,
                    "switch": plan.switch,
                });
                self.journal.note(Weight::Important, "map_switched", fields);
                self.given.clear();
                self.consider(own).await
            }
            Step::Over => {
                let fields = json!({
                    "group": own.group, "epoch": plan.epoch, "version": plan.version,
                });
                self.journal.note(Weight::Important, "plan_over", fields);
                self.given.clear();
                IDLE_ROUND
            }
        }
    }

    async fn give_all(&mut self, own: &Report, plan: &Plan, orders: Vec<(usize, Order)>) {
        let now = self.clock.now();
        let due = |(rank, order): &(usize, Order)| {
            let last = self.given.get(rank);
            !last.is_some_and(|(last, at)| last == order && now < *at + repeat_after(order))
        };
        let orders: Vec<(usize, Order)> = orders.into_iter().filter(due).collect();
        let epoch = plan.epoch;
        let gives = orders.iter().map(|(rank, order)| {
            let envelope = Envelope { epoch, order: order.clone() };
            self.ask(own.rank, *rank, Ask::Give { by: own.rank, envelope })
        });
        let answers = join_all(gives).await;
        for ((rank, order), told) in orders.into_iter().zip(answers) {
            let status = told.as_ref().and_then(|told| told.status);
            if status.is_none() {
                self.lost_until = now + LOST_FOR;
            }
            let fields = json!({
                "group": own.group, "epoch": epoch, "rank": rank, "version": plan.version,
                "order": name(&order), "pass": plan.switch, "status": status,
                "fault": told.and_then(|told| told.fault),
            });
            self.journal.note(Weight::Important, "order", fields);
            let given = if status.is_some() { now } else { now.saturating_sub(REPEAT_AFTER * 20) };
            self.given.insert(rank, (order, given));
        }
    }

    /// Takes in the counts of the ranks.
    fn count(&mut self, told: &[Option<Told>]) {
        let Some(shape) = &self.shape else { return };
        let counts: Vec<_> = told
            .iter()
            .flatten()
            .filter_map(|told| Some((told.report.as_ref()?.rank, told.counts.clone()?)))
            .collect();
        self.counted = self.clock.now();
        self.tally.observe(self.counted, &counts, shape.layers);
    }

    /// Decides whether another map is worth its copies.
    async fn consider(&mut self, own: &Report) -> Duration {
        let Some(shape) = self.shape.clone() else { return IDLE_ROUND };
        let told = self.ask_all(own, true, true).await;
        let reports = self.reports(own, &told);
        let stray = rollout::stray_hold(&reports, None);
        self.count(&told);
        let told: Vec<Told> = told.into_iter().flatten().collect();
        let holdings: Vec<_> = told.iter().filter_map(|told| told.holding.as_ref()).collect();
        let same = |holding: &&crate::report::Holding| {
            holding.epoch == own.epoch && holding.version == own.map
        };
        let complete = reports.iter().all(Option::is_some) && holdings.len() == own.size;
        if !complete || !holdings.iter().all(same) {
            self.look_again |= !complete;
            return IDLE_ROUND;
        }
        let maps = (0..shape.layers).map(|layer| Map {
            experts: shape.experts as u32,
            ranks: holdings
                .iter()
                .map(|holding| holding.layers.get(layer).cloned().unwrap_or_default())
                .collect(),
        });
        let maps: Vec<Map> = maps.collect();
        let popularity = self.tally.layers();
        if popularity.len() != shape.layers {
            return IDLE_ROUND;
        }
        let copies = (COPY_TIME / shape.copy_time.max(f64::MIN_POSITIVE)).floor();
        let terms = spread::Terms {
            slots: shape.slots,
            copies_per_layer: shape.copies,
            copies_per_rank: copies.clamp(1.0, 1_000.0) as usize,
        };
        let paces: Vec<f64> = reports.iter().flatten().map(|report| report.slowdown).collect();
        let better = spread::spread(&maps, popularity, &paces, &terms);
        let before = spread::pass_length(&maps, popularity, &paces);
        let after = spread::pass_length(&better, popularity, &paces);
        // A hold that was left behind is released by a switch only.
        let lost = self.clock.now() < self.lost_until;
        let gain = if lost { GAIN_MINIMUM_LOST } else { GAIN_MINIMUM };
        if after > before * (1.0 - gain) && stray.is_none() {
            return IDLE_ROUND;
        }
        let copies: usize =
            better.iter().zip(&maps).map(|(better, map)| better.moves_from(map)).sum();
        let fields = json!({
            "group": own.group, "epoch": own.epoch, "map": own.map, "copies": copies, "paces": paces,
            "skew_before": before / shape.layers as f64, "skew_after": after / shape.layers as f64,
        });
        self.journal.note(Weight::Important, "plan", fields);
        let map = better.into_iter().map(|map| map.ranks).collect();
        let plan = Plan {
            epoch: own.epoch,
            version: 0,
            map,
            switch: None,
            holder: own.rank,
            writer: String::new(),
        };
        if self.write(own, plan).await { Duration::ZERO } else { IDLE_ROUND }
    }

    /// Creates the object of the group's plans: its revision gives the first version.
    async fn create(&mut self, own: &Report) -> bool {
        self.put(own, &Value::Null, None).await
    }

    /// Writes the plan under the condition of the one that it follows; a new one gets its version.
    async fn write(&mut self, own: &Report, plan: Plan) -> bool {
        let Some(held) = self.held.as_ref().map(|object| object.revision) else { return false };
        let version = if plan.version == 0 { held + 1 } else { plan.version };
        let plan = Plan { version, writer: self.settings.name.clone(), ..plan };
        let value = match serde_json::to_value(&plan) {
            Ok(value) => value,
            Err(fault) => {
                log::error!("cannot encode a plan: {fault}");
                return false;
            }
        };
        let written = self.put(own, &value, Some(held)).await;
        self.plan = written.then_some(plan);
        written
    }

    async fn put(&mut self, own: &Report, value: &Value, held: Option<Revision>) -> bool {
        match self.objects.put(KIND, &own.group, value, held).await {
            Ok(Written::Done(object)) => {
                self.held = Some(object);
                true
            }
            Ok(Written::Conflict(_)) => {
                let fields = json!({ "group": own.group, "held": held });
                self.journal.note(Weight::Important, "plan_conflict", fields);
                self.stand_by();
                self.quiet_until = self.clock.now() + TAKE_OVER;
                false
            }
            Err(fault) => {
                // It may have taken effect: what the store holds decides.
                let fields = json!({ "fault": fault.current_context().to_string() });
                self.journal.note(Weight::Important, "plan_unwritten", fields);
                self.stand_by();
                false
            }
        }
    }
}

fn read_plan(object: &Object) -> Option<Plan> {
    serde_json::from_value(object.value.clone()).ok()
}

fn repeat_after(order: &Order) -> Duration {
    match order {
        // Ranks copy for some tenths of a second before they report a map as prepared.
        Order::Prepare { .. } => REPEAT_AFTER * 20,
        Order::Go { .. } | Order::Arm { .. } | Order::Hold { .. } => REPEAT_AFTER,
    }
}

fn name(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}
