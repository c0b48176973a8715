//! Checks that an attempt is handed over at most once, and that an attempt reported as not run was
//! never handed over, by exploring every interleaving of a small model.
//!
//! The model has one attempt, whose offer may be sent twice. Connections are closed and reopened,
//! frames on an old connection arrive at any later time, and the sidecar may restart once.

use filberttrail_kernel::id::Attempt;
use filberttrail_state::Ledger;
use filberttrail_state::ledger::{Phase, Verdict, Withdrawal};
use filberttrail_test_support::walk::walk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const ATTEMPT: Attempt = Attempt { owner: 7, number: 1 };
const CONNECTIONS: u64 = 3;
const NOW: Duration = Duration::ZERO;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Hello,
    Offer { incarnation: u8 },
    Resume,
    Withdraw,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Rules {
    Complete,
    NoTombstones,
    NoConnectionNumbers,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    rules: Rules,
    ledger: Ledger,
    incarnation: u8,
    connection: u64,
    seen_incarnation: u8,
    sent: BTreeMap<u64, VecDeque<Message>>,
    replies: BTreeSet<u64>,
    handed_over: u8,
    reported_not_run: bool,
    is_duplicated: bool,
    is_connected: bool,
}

impl Model {
    fn new(rules: Rules) -> Self {
        let first = VecDeque::from([Message::Hello, Message::Offer { incarnation: 0 }]);
        Self {
            rules,
            ledger: Ledger::new(),
            incarnation: 0,
            connection: 1,
            seen_incarnation: 0,
            sent: BTreeMap::from([(1, first)]),
            replies: BTreeSet::new(),
            handed_over: 0,
            reported_not_run: false,
            is_duplicated: false,
            is_connected: true,
        }
    }

    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        let mut add = |name: String, change: &dyn Fn(&mut Self)| {
            let mut model = self.clone();
            change(&mut model);
            successors.push((name, model));
        };
        for connection in self.sent.keys().copied() {
            add(format!("deliver on {connection}"), &|model| model.deliver(connection));
        }
        if self.connection < CONNECTIONS {
            add("reconnect".into(), &|model| model.reconnect());
        }
        if !self.is_duplicated {
            add("duplicate the offer".into(), &|model| model.duplicate_offer());
        }
        add("withdraw".into(), &|model| model.send(Message::Withdraw));
        add("hand over".into(), &|model| {
            model.handed_over += u8::from(model.ledger.hand_over(ATTEMPT, NOW));
        });
        if self.incarnation == 0 {
            add("restart the sidecar".into(), &|model| {
                model.incarnation = 1;
                model.ledger = Ledger::new();
                // The connections end with the sidecar process.
                model.sent.clear();
                model.is_connected = false;
            });
        }
        for reply in &self.replies {
            add(format!("reply on {reply}"), &|model| {
                // The entry reads only from its newest connection.
                model.reported_not_run |= *reply == model.connection && model.seen_incarnation == 0;
            });
        }
        successors
    }

    fn send(&mut self, message: Message) {
        if !self.is_connected {
            return;
        }
        let frames = self.sent.entry(self.connection).or_default();
        if frames.len() < 4 {
            frames.push_back(message);
        }
    }

    fn duplicate_offer(&mut self) {
        self.is_duplicated = true;
        self.send(Message::Offer { incarnation: 0 });
    }

    fn reconnect(&mut self) {
        self.connection += 1;
        self.is_connected = true;
        self.seen_incarnation = self.incarnation;
        self.send(Message::Hello);
        if self.seen_incarnation == 0 {
            self.send(Message::Resume);
        }
    }

    fn deliver(&mut self, connection: u64) {
        let Some(frames) = self.sent.get_mut(&connection) else { return };
        let Some(message) = frames.pop_front() else {
            self.sent.remove(&connection);
            return;
        };
        match message {
            Message::Hello => self.ledger.register_connection(ATTEMPT.owner, connection),
            Message::Offer { incarnation } if incarnation != self.incarnation => {}
            Message::Offer { .. } => self.handle_offer(connection),
            Message::Resume if self.is_open() => {}
            Message::Resume | Message::Withdraw => self.handle_withdraw(connection),
        }
    }

    fn is_open(&self) -> bool {
        matches!(self.ledger.phase(ATTEMPT), Some(Phase::Pending | Phase::Running))
    }

    fn handle_offer(&mut self, connection: u64) {
        if self.rules == Rules::NoConnectionNumbers {
            self.ledger.register_connection(ATTEMPT.owner, connection.max(CONNECTIONS));
            let _: Verdict = self.ledger.offer(ATTEMPT, CONNECTIONS, NOW);
            return;
        }
        let _: Verdict = self.ledger.offer(ATTEMPT, connection, NOW);
    }

    fn handle_withdraw(&mut self, connection: u64) {
        let withdrawal = match (self.rules, self.ledger.phase(ATTEMPT)) {
            (Rules::Complete, _) | (_, Some(_)) => self.ledger.withdraw(ATTEMPT, NOW),
            // Without a tombstone, a withdrawal that arrives before the offer has no effect.
            (_, None) => Withdrawal::NotRun,
        };
        if withdrawal == Withdrawal::NotRun {
            self.replies.insert(connection);
        }
    }

    fn violation(&self) -> Option<String> {
        if self.handed_over > 1 {
            return Some("handed over twice".into());
        }
        let is_false_report = self.reported_not_run && self.handed_over > 0;
        is_false_report.then(|| "reported 'not run' for an attempt that was handed over".into())
    }
}

#[test]
fn hands_over_at_most_once_and_reports_not_run_truthfully() {
    let states = walk(Model::new(Rules::Complete), Model::successors, Model::violation)
        .expect("no violation");
    assert!(states > 1_000, "only {states} states were walked");
}

#[test]
fn reports_not_run_falsely_without_tombstones() {
    let violation = walk(Model::new(Rules::NoTombstones), Model::successors, Model::violation);
    assert!(violation.expect_err("a violation").contains("reported 'not run'"));
}

#[test]
fn a_late_offer_violates_the_invariant_without_connection_numbers_and_tombstones() {
    let violation =
        walk(Model::new(Rules::NoConnectionNumbers), Model::successors, Model::violation);
    assert!(violation.is_err());
}

#[test]
fn a_full_ledger_refuses_further_attempts() {
    let mut ledger = Ledger::new().with_capacity(1);
    ledger.register_connection(7, 1);
    assert_eq!(ledger.offer(ATTEMPT, 1, NOW), Verdict::Accepted);
    let next = Attempt { number: 2, ..ATTEMPT };
    assert_eq!(ledger.offer(next, 1, NOW), Verdict::Full);
}

#[test]
fn a_sweep_removes_only_attempts_that_ended_long_ago() {
    let mut ledger = Ledger::new();
    ledger.register_connection(7, 1);
    ledger.offer(ATTEMPT, 1, NOW);
    let later = filberttrail_state::ledger::RETENTION * 2;
    assert!(ledger.sweep(later).is_empty(), "an open attempt is kept");
    ledger.hand_over(ATTEMPT, NOW);
    ledger.finish(ATTEMPT, NOW);
    assert_eq!(ledger.sweep(later), [ATTEMPT]);
}
