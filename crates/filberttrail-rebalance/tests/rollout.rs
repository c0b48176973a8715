//! Groups, coordinators and orders that are lost, late and doubled: no pass sees two maps.

use filberttrail_rebalance::order::Order;
use filberttrail_rebalance::rollout::{self, Step};
use filberttrail_rebalance::{Plan, Report};

const RANKS: usize = 4;
/// Ticks of one play.
const TICKS: usize = 1_500;
/// How late an order may be carried out, in ticks.
const LATE: usize = 60;

/// Whether switches wait behind a hold.
#[derive(Clone, Copy, PartialEq)]
enum Holding {
    On,
    Off,
}

#[derive(Clone, Default)]
struct Engine {
    map: u64,
    highest: u64,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

struct Group {
    epoch: u64,
    pass: u64,
    engines: Vec<Engine>,
    late: Vec<(usize, u64, usize, Order)>,
    mixed: bool,
}

impl Group {
    fn new() -> Self {
        let engines = vec![Engine::default(); RANKS];
        Self { epoch: 1, pass: 0, engines, late: Vec::new(), mixed: false }
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

    fn carry_out(&mut self, epoch: u64, rank: usize, order: &Order) {
        if epoch != self.epoch {
            return;
        }
        let engine = &mut self.engines[rank];
        match order {
            Order::Prepare { version, .. } => {
                if *version > engine.highest && engine.armed.is_none() {
                    engine.highest = *version;
                    engine.prepared = Some(*version);
                }
            }
            Order::Arm { version, pass } => {
                if engine.prepared == Some(*version) && *pass > self.pass {
                    engine.armed = Some((*version, *pass));
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
        let next = self.pass + 1;
        if self.engines.iter().any(|engine| engine.held == Some(next)) {
            return;
        }
        self.pass = next;
        for engine in &mut self.engines {
            if let Some((version, pass)) = engine.armed
                && pass == next
            {
                engine.map = version;
                engine.armed = None;
                engine.prepared = None;
            }
        }
        let first = self.engines[0].map;
        self.mixed |= self.engines.iter().any(|engine| engine.map != first);
    }

    fn reform(&mut self) {
        self.epoch += 1;
        self.engines = vec![Engine::default(); RANKS];
    }
}

/// The store's object: a revision and the plan.
#[derive(Clone, Default)]
struct Stored {
    revision: u64,
    plan: Option<Plan>,
}

#[derive(Clone, Default)]
struct Coordinator {
    known: Option<Stored>,
    reports: Vec<Option<Report>>,
}

struct Play {
    random: fastrand::Rng,
    group: Group,
    store: Stored,
    coordinators: Vec<Coordinator>,
    holding: Holding,
    switches: u64,
    trouble: bool,
}

impl Play {
    fn new(seed: u64, coordinators: usize, holding: Holding, trouble: bool) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            group: Group::new(),
            store: Stored { revision: 1, plan: None },
            coordinators: vec![Coordinator::default(); coordinators],
            holding,
            switches: 0,
            trouble,
        }
    }

    fn run(&mut self) {
        for tick in 0..TICKS {
            if self.random.u8(..) < 60 {
                self.group.begin_pass();
            }
            let due: Vec<_> = self.group.late.extract_if(.., |late| late.0 <= tick).collect();
            for (_, epoch, rank, order) in due {
                self.group.carry_out(epoch, rank, &order);
            }
            if self.trouble && self.random.u16(..) < 60 {
                self.group.reform();
            }
            let index = self.random.usize(..self.coordinators.len());
            match self.random.u8(..) {
                // Killed, or frozen and replaced: it starts from the store.
                0..4 if self.trouble => self.coordinators[index] = Coordinator::default(),
                0..100 => self.coordinators[index].reports = self.group.reports(),
                _ => self.act(tick, index),
            }
        }
    }

    fn act(&mut self, tick: usize, index: usize) {
        let Coordinator { known, reports } = self.coordinators[index].clone();
        if reports.is_empty() {
            return;
        }
        let Some(known) = known else {
            self.coordinators[index].known = Some(self.store.clone());
            return;
        };
        let epoch = reports.iter().flatten().map(|report| report.epoch).max().unwrap_or(0);
        let Some(plan) = known.plan.clone().filter(|plan| plan.epoch == epoch) else {
            let plan = Plan {
                epoch,
                version: known.revision + 1,
                map: Vec::new(),
                switch: None,
                holder: index % RANKS,
                writer: index.to_string(),
            };
            self.write(index, &known, plan);
            return;
        };
        let step = match rollout::next(&plan, &reports, rollout::SWITCH_AFTER) {
            Step::Give(orders) if self.holding == Holding::Off => {
                let hold = matches!(orders[0].1, Order::Hold { .. });
                let pass = plan.switch.unwrap_or_default();
                let arm = |rank| (rank, Order::Arm { version: plan.version, pass });
                Step::Give(if hold { (0..RANKS).map(arm).collect() } else { orders })
            }
            step => step,
        };
        match step {
            Step::Give(orders) => {
                for (rank, order) in orders {
                    self.give(tick, plan.epoch, rank, order);
                }
            }
            Step::Settle(pass) => {
                self.write(index, &known, Plan { switch: Some(pass), ..plan });
            }
            Step::Done => {
                self.switches += 1;
                let after = Stored { plan: None, ..known };
                self.coordinators[index].known = Some(after);
            }
            Step::Wait | Step::Over => {}
        }
    }

    fn write(&mut self, index: usize, known: &Stored, plan: Plan) {
        if known.revision != self.store.revision {
            self.coordinators[index].known = None;
            return;
        }
        let revision = self.store.revision + 1 + self.random.u64(..3);
        self.store = Stored { revision, plan: Some(plan) };
        let lost = self.trouble && self.random.u8(..) < 20;
        self.coordinators[index].known = (!lost).then(|| self.store.clone());
    }

    fn give(&mut self, tick: usize, epoch: u64, rank: usize, order: Order) {
        let fate = if self.trouble { self.random.u8(..100) } else { 99 };
        let late = tick + self.random.usize(1..LATE);
        match fate {
            0..10 => {}
            10..35 => self.group.late.push((late, epoch, rank, order)),
            35..40 => {
                self.group.carry_out(epoch, rank, &order);
                self.group.late.push((late, epoch, rank, order));
            }
            _ => self.group.carry_out(epoch, rank, &order),
        }
    }
}

#[test]
fn no_pass_sees_two_maps_whatever_happens_to_orders_and_coordinators() {
    let mut switches = 0;
    for coordinators in 1..=3 {
        for seed in 0..700 {
            let mut play = Play::new(seed, coordinators, Holding::On, true);
            play.run();
            assert!(!play.group.mixed, "{coordinators} coordinators, seed {seed}");
            switches += play.switches;
        }
    }
    assert!(switches > 5_000, "maps are changed under trouble as well: {switches}");
}

#[test]
fn without_the_hold_some_pass_sees_two_maps() {
    let mixed = (0..300).any(|seed| {
        let mut play = Play::new(seed, 1, Holding::Off, true);
        play.run();
        play.group.mixed
    });
    assert!(mixed, "the play has to be able to fail");
}

#[test]
fn in_calm_times_changes_follow_each_other() {
    for seed in 0..50 {
        let mut play = Play::new(seed, 1, Holding::On, false);
        play.run();
        assert!(play.switches > 20, "seed {seed}: {} switches", play.switches);
    }
}

#[test]
fn a_group_is_never_left_held() {
    for seed in 0..200 {
        let mut play = Play::new(seed, 2, Holding::On, true);
        play.run();
        play.trouble = false;
        let epoch = play.group.epoch;
        let pass = play.group.pass;
        play.run();
        assert_eq!(epoch, play.group.epoch);
        assert!(play.group.pass > pass + 20, "seed {seed}: the group stands at {pass}");
    }
}
