//! True refusals, and at most one hand-over, over every interleaving of a small case.
//!
//! One attempt; its offer may be doubled; connections are cut and opened anew, and what an old one
//! still holds arrives at any later time; the sidecar may restart.

use filberttrail_kernel::id::Attempt;
use filberttrail_state::Ledger;
use filberttrail_state::ledger::{Phase, Settled, Verdict};
use filberttrail_test_support::walk::walk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const ATTEMPT: Attempt = Attempt { owner: 7, number: 1 };
const CONNECTIONS: u64 = 3;
const NOW: Duration = Duration::ZERO;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Hello,
    Offer { life: u8 },
    Resume,
    Withdraw,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Rules {
    Ours,
    NoTombstones,
    NoConnectionNumbers,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Case {
    rules: Rules,
    ledger: Ledger,
    life: u8,
    connection: u64,
    life_seen: u8,
    wires: BTreeMap<u64, VecDeque<Message>>,
    replies: BTreeSet<u64>,
    handed_over: u8,
    told_not_run: bool,
    doubled: bool,
    connected: bool,
}

impl Case {
    fn new(rules: Rules) -> Self {
        let first = VecDeque::from([Message::Hello, Message::Offer { life: 0 }]);
        Self {
            rules,
            ledger: Ledger::new(),
            life: 0,
            connection: 1,
            life_seen: 0,
            wires: BTreeMap::from([(1, first)]),
            replies: BTreeSet::new(),
            handed_over: 0,
            told_not_run: false,
            doubled: false,
            connected: true,
        }
    }

    fn next(&self) -> Vec<(String, Self)> {
        let mut following = Vec::new();
        let mut add = |name: String, change: &dyn Fn(&mut Self)| {
            let mut case = self.clone();
            change(&mut case);
            following.push((name, case));
        };
        for connection in self.wires.keys().copied() {
            add(format!("deliver on {connection}"), &|case| case.deliver(connection));
        }
        if self.connection < CONNECTIONS {
            add("reconnect".into(), &|case| case.reconnect());
        }
        if !self.doubled {
            add("double the offer".into(), &|case| case.double());
        }
        add("withdraw".into(), &|case| case.send(Message::Withdraw));
        add("hand over".into(), &|case| {
            case.handed_over += u8::from(case.ledger.hand_over(ATTEMPT, NOW));
        });
        if self.life == 0 {
            add("restart the sidecar".into(), &|case| {
                case.life = 1;
                case.ledger = Ledger::new();
                // A connection ends with the process that it leads to.
                case.wires.clear();
                case.connected = false;
            });
        }
        for reply in &self.replies {
            add(format!("reply on {reply}"), &|case| {
                // The entry listens to its newest connection only.
                case.told_not_run |= *reply == case.connection && case.life_seen == 0;
            });
        }
        following
    }

    fn send(&mut self, message: Message) {
        if !self.connected {
            return;
        }
        let wire = self.wires.entry(self.connection).or_default();
        if wire.len() < 4 {
            wire.push_back(message);
        }
    }

    fn double(&mut self) {
        self.doubled = true;
        self.send(Message::Offer { life: 0 });
    }

    fn reconnect(&mut self) {
        self.connection += 1;
        self.connected = true;
        self.life_seen = self.life;
        self.send(Message::Hello);
        if self.life_seen == 0 {
            self.send(Message::Resume);
        }
    }

    fn deliver(&mut self, connection: u64) {
        let Some(wire) = self.wires.get_mut(&connection) else { return };
        let Some(message) = wire.pop_front() else {
            self.wires.remove(&connection);
            return;
        };
        match message {
            Message::Hello => self.ledger.register_connection(ATTEMPT.owner, connection),
            Message::Offer { life } if life != self.life => {}
            Message::Offer { .. } => self.offer(connection),
            Message::Resume if self.is_open() => {}
            Message::Resume | Message::Withdraw => self.settle(connection),
        }
    }

    fn is_open(&self) -> bool {
        matches!(self.ledger.phase(ATTEMPT), Some(Phase::Pending | Phase::Running))
    }

    fn offer(&mut self, connection: u64) {
        if self.rules == Rules::NoConnectionNumbers {
            self.ledger.register_connection(ATTEMPT.owner, connection.max(CONNECTIONS));
            let _: Verdict = self.ledger.offer(ATTEMPT, CONNECTIONS, NOW);
            return;
        }
        let _: Verdict = self.ledger.offer(ATTEMPT, connection, NOW);
    }

    fn settle(&mut self, connection: u64) {
        let settled = match (self.rules, self.ledger.phase(ATTEMPT)) {
            (Rules::Ours, _) | (_, Some(_)) => self.ledger.withdraw(ATTEMPT, NOW),
            // Without a tombstone the question leaves no trace.
            (_, None) => Settled::NotRun,
        };
        if settled == Settled::NotRun {
            self.replies.insert(connection);
        }
    }

    fn broken(&self) -> Option<String> {
        if self.handed_over > 1 {
            return Some("handed over twice".into());
        }
        let lie = self.told_not_run && self.handed_over > 0;
        lie.then(|| "told 'not run' of what was handed over".into())
    }
}

#[test]
fn a_refusal_is_true_and_nothing_runs_twice() {
    let states = walk(Case::new(Rules::Ours), Case::next, Case::broken).expect("no violation");
    assert!(states > 1_000, "only {states} states were walked");
}

#[test]
fn without_tombstones_a_refusal_is_a_lie() {
    let broken = walk(Case::new(Rules::NoTombstones), Case::next, Case::broken);
    assert!(broken.expect_err("a violation").contains("told 'not run'"));
}

#[test]
fn without_connection_numbers_and_tombstones_a_late_offer_runs() {
    let broken = walk(Case::new(Rules::NoConnectionNumbers), Case::next, Case::broken);
    assert!(broken.is_err());
}

#[test]
fn a_full_ledger_refuses_what_it_could_not_remember() {
    let mut ledger = Ledger::new().with_capacity(1);
    ledger.register_connection(7, 1);
    assert_eq!(ledger.offer(ATTEMPT, 1, NOW), Verdict::Accepted);
    let next = Attempt { number: 2, ..ATTEMPT };
    assert_eq!(ledger.offer(next, 1, NOW), Verdict::Full);
}

#[test]
fn a_sweep_forgets_only_what_ended_long_ago() {
    let mut ledger = Ledger::new();
    ledger.register_connection(7, 1);
    ledger.offer(ATTEMPT, 1, NOW);
    let late = filberttrail_state::ledger::RETENTION * 2;
    assert!(ledger.sweep(late).is_empty(), "an open attempt is kept");
    ledger.hand_over(ATTEMPT, NOW);
    ledger.finish(ATTEMPT, NOW);
    assert_eq!(ledger.sweep(late), [ATTEMPT]);
}
