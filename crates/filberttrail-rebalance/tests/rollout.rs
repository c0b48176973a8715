//! Simulates a group and its coordinators while orders are lost, delayed and duplicated. The tests
//! guard against a pass in which ranks use different maps, which occurs when a switch is not
//! protected by a hold.

use filberttrail_rebalance::order::Order;
use filberttrail_rebalance::rollout::{self, Step};
use filberttrail_rebalance::{Plan, Report};

const RANKS: usize = 4;
/// Length of one simulation in ticks.
const TICKS: usize = 1_500;
/// Maximum delay of a delayed order in ticks.
const MAX_DELAY_TICKS: usize = 60;

/// Whether switches are protected by a hold.
#[derive(Clone, Copy, PartialEq)]
enum HoldMode {
    On,
    Off,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    map: u64,
    highest_version: u64,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

struct Group {
    epoch: u64,
    pass: u64,
    engines: Vec<Engine>,
    delayed: Vec<(usize, u64, usize, Order)>,
    saw_mixed_maps: bool,
}

impl Group {
    fn new() -> Self {
        let engines = vec![Engine::default(); RANKS];
        Self { epoch: 1, pass: 0, engines, delayed: Vec::new(), saw_mixed_maps: false }
    }

    fn reports(&self) -> Vec<Option<Report>> {
        let report = |(rank, engine): (usize, &Engine)| Report {
            group: "g".to_string(),
            epoch: self.epoch,
            rank,
            size: RANKS,
            open: true,
            incarnation: 1,
            slowdown: 1.0,
            pass: self.pass,
            map: engine.map,
            prepared: engine.prepared,
            armed: engine.armed,
            held: engine.held,
        };
        self.engines.iter().enumerate().map(|engine| Some(report(engine))).collect()
    }

    fn apply_order(&mut self, epoch: u64, rank: usize, order: &Order) {
        if epoch != self.epoch {
            return;
        }
        let engine = &mut self.engines[rank];
        match order {
            Order::Prepare { version, .. } => {
                if *version > engine.highest_version && engine.armed.is_none() {
                    engine.highest_version = *version;
                    engine.prepared = Some(*version);
                }
            }
            Order::Arm { version, pass } => {
                if engine.prepared == Some(*version) && *pass > self.pass {
                    engine.armed = Some((*version, *pass));
                }
            }
            Order::Disarm { version } => {
                if engine.armed.is_some_and(|(armed, _)| armed == *version) {
                    engine.armed = None;
                }
            }
            Order::Hold { pass } => {
                if *pass > self.pass && engine.held.is_none() {
                    engine.held = Some(*pass);
                }
            }
            Order::Go { pass } => {
                if engine.held == Some(*pass) {
                    engine.held = None;
                }
            }
        }
    }

    fn begin_pass(&mut self) {
        let next_pass = self.pass + 1;
        if self.engines.iter().any(|engine| engine.held == Some(next_pass)) {
            return;
        }
        self.pass = next_pass;
        for engine in &mut self.engines {
            if let Some((version, pass)) = engine.armed
                && pass == next_pass
            {
                engine.map = version;
                engine.armed = None;
                engine.prepared = None;
            }
        }
        let first = self.engines[0].map;
        self.saw_mixed_maps |= self.engines.iter().any(|engine| engine.map != first);
    }

    fn start_next_epoch(&mut self) {
        self.epoch += 1;
        self.engines = vec![Engine::default(); RANKS];
    }
}

/// The plan object in the store.
#[derive(Debug, Clone, Default)]
struct StoredObject {
    revision: u64,
    plan: Option<Plan>,
}

#[derive(Clone, Default)]
struct Coordinator {
    stored: Option<StoredObject>,
    reports: Vec<Option<Report>>,
}

struct Simulation {
    random: fastrand::Rng,
    group: Group,
    store: StoredObject,
    /// Earlier states of the store, from which it may be restored.
    copies: Vec<StoredObject>,
    /// Number of restores, which the high bits of revisions contain.
    era: u64,
    restores: bool,
    coordinators: Vec<Coordinator>,
    hold_mode: HoldMode,
    switches: u64,
    faulty: bool,
}

impl Simulation {
    fn new(seed: u64, coordinators: usize, hold_mode: HoldMode, faulty: bool) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            group: Group::new(),
            store: StoredObject { revision: 1, plan: None },
            copies: Vec::new(),
            era: 0,
            restores: false,
            coordinators: vec![Coordinator::default(); coordinators],
            hold_mode,
            switches: 0,
            faulty,
        }
    }

    fn run(&mut self) {
        for tick in 0..TICKS {
            if self.random.u8(..) < 60 {
                self.group.begin_pass();
            }
            let due: Vec<_> = self.group.delayed.extract_if(.., |order| order.0 <= tick).collect();
            for (_, epoch, rank, order) in due {
                self.group.apply_order(epoch, rank, &order);
            }
            if self.faulty && self.random.u16(..) < 60 {
                self.group.start_next_epoch();
            }
            if self.restores && self.random.u16(..) < 400 {
                self.restore_store();
            }
            let index = self.random.usize(..self.coordinators.len());
            match self.random.u8(..) {
                // The coordinator was killed, or was frozen and replaced. The new one starts from
                // the store.
                0..4 if self.faulty => self.coordinators[index] = Coordinator::default(),
                0..100 => self.coordinators[index].reports = self.group.reports(),
                _ => self.take_step(tick, index),
            }
        }
    }

    fn take_step(&mut self, tick: usize, index: usize) {
        let Coordinator { stored, reports } = self.coordinators[index].clone();
        if reports.is_empty() {
            return;
        }
        let Some(stored) = stored else {
            self.coordinators[index].stored = Some(self.store.clone());
            return;
        };
        let epoch = reports.iter().flatten().map(|report| report.epoch).max().unwrap_or(0);
        let is_usable = |plan: &Plan| {
            plan.epoch == epoch && (plan.is_adopted() || plan.is_current(stored.revision))
        };
        let Some(plan) = stored.plan.clone().filter(is_usable) else {
            if let Some(plan) = rollout::adopt(&reports, epoch, index % RANKS) {
                self.write_plan(index, &stored, plan);
                return;
            }
            let plan = Plan {
                epoch,
                version: stored.revision + 1,
                map: vec![vec![vec![0]; RANKS]].into(),
                switch_pass: None,
                holder: index % RANKS,
                writer: index.to_string(),
            };
            self.write_plan(index, &stored, plan);
            return;
        };
        let step = match rollout::next_step(&plan, &reports, rollout::SWITCH_LEAD) {
            Step::Send(orders) if self.hold_mode == HoldMode::Off => {
                let hold = matches!(orders[0].1, Order::Hold { .. });
                let pass = plan.switch_pass.unwrap_or_default();
                let arm = |rank| (rank, Order::Arm { version: plan.version, pass });
                Step::Send(if hold { (0..RANKS).map(arm).collect() } else { orders })
            }
            step => step,
        };
        match step {
            Step::Send(orders) => {
                for (rank, order) in orders {
                    self.send_order(tick, plan.epoch, rank, order);
                }
            }
            Step::Schedule(pass) => {
                self.write_plan(index, &stored, Plan { switch_pass: Some(pass), ..plan });
            }
            Step::Done => {
                self.switches += 1;
                let after = StoredObject { plan: None, ..stored };
                self.coordinators[index].stored = Some(after);
            }
            Step::Stale => {
                let stored = StoredObject { plan: None, ..stored };
                self.coordinators[index].stored = Some(stored);
            }
            Step::Wait => {}
        }
    }

    /// Replaces the store with one of its last states and starts a new era.
    fn restore_store(&mut self) {
        let oldest = self.copies.len().saturating_sub(4);
        let Some(copy) = self.copies.get(oldest..).and_then(|copies| copies.first()) else {
            return;
        };
        self.era += 1;
        let revision = self.era << 40 | (copy.revision & ((1 << 40) - 1));
        self.store = StoredObject { revision, plan: copy.plan.clone() };
        self.copies.clear();
    }

    fn write_plan(&mut self, index: usize, stored: &StoredObject, plan: Plan) {
        if stored.revision != self.store.revision {
            self.coordinators[index].stored = None;
            return;
        }
        let revision = self.store.revision + 1 + self.random.u64(..3);
        self.copies.push(self.store.clone());
        self.store = StoredObject { revision, plan: Some(plan) };
        let lost = self.faulty && self.random.u8(..) < 20;
        self.coordinators[index].stored = (!lost).then(|| self.store.clone());
    }

    fn send_order(&mut self, tick: usize, epoch: u64, rank: usize, order: Order) {
        let roll = if self.faulty { self.random.u8(..100) } else { 99 };
        let due = tick + self.random.usize(1..MAX_DELAY_TICKS);
        match roll {
            0..10 => {}
            10..35 => self.group.delayed.push((due, epoch, rank, order)),
            35..40 => {
                self.group.apply_order(epoch, rank, &order);
                self.group.delayed.push((due, epoch, rank, order));
            }
            _ => self.group.apply_order(epoch, rank, &order),
        }
    }
}

#[test]
fn every_pass_uses_one_map_despite_lost_orders_and_coordinator_restarts() {
    let mut switches = 0;
    for coordinators in 1..=3 {
        for seed in 0..700 {
            let mut simulation = Simulation::new(seed, coordinators, HoldMode::On, true);
            simulation.run();
            assert!(!simulation.group.saw_mixed_maps, "{coordinators} coordinators, seed {seed}");
            switches += simulation.switches;
        }
    }
    assert!(switches > 5_000, "too few map switches completed under faults: {switches}");
}

#[test]
fn switching_without_a_hold_mixes_maps_within_a_pass() {
    let saw_mixed_maps = (0..300).any(|seed| {
        let mut simulation = Simulation::new(seed, 1, HoldMode::Off, true);
        simulation.run();
        simulation.group.saw_mixed_maps
    });
    assert!(saw_mixed_maps, "the simulation must be able to produce mixed maps");
}

#[test]
fn map_switches_keep_completing_without_faults() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 1, HoldMode::On, false);
        simulation.run();
        assert!(simulation.switches > 20, "seed {seed}: {} switches", simulation.switches);
    }
}

#[test]
fn a_held_group_resumes_after_faults_end() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 2, HoldMode::On, true);
        simulation.run();
        simulation.faulty = false;
        let epoch = simulation.group.epoch;
        let pass = simulation.group.pass;
        simulation.run();
        assert_eq!(epoch, simulation.group.epoch);
        assert!(
            simulation.group.pass > pass + 20,
            "seed {seed}: the group is stuck at pass {pass}"
        );
    }
}

#[test]
fn a_store_restored_from_a_copy_neither_mixes_maps_nor_blocks_the_group() {
    let mut switches = 0;
    let mut restores = 0;
    for coordinators in 1..=3 {
        for seed in 0..300 {
            let mut simulation = Simulation::new(seed, coordinators, HoldMode::On, true);
            simulation.restores = true;
            simulation.run();
            assert!(!simulation.group.saw_mixed_maps, "{coordinators} coordinators, seed {seed}");
            switches += simulation.switches;
            restores += simulation.era;
            simulation.restores = false;
            simulation.faulty = false;
            let pass = simulation.group.pass;
            simulation.run();
            let blocked = simulation.group.pass <= pass + 20;
            let (group, store) = (&simulation.group, &simulation.store);
            assert!(
                !blocked,
                "{coordinators} coordinators, seed {seed}: stuck at pass {pass}, {:?}, {store:?}",
                group.engines
            );
        }
    }
    assert!(switches > 1_000 && restores > 1_000, "{switches} switches, {restores} restores");
}
