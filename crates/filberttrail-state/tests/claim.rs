//! Checks that the request with an idempotency key runs at most once, by exploring every
//! interleaving of two sidecars with lost write responses, abandoned claims and sidecar crashes.

use filberttrail_kernel::id::Attempt;
use filberttrail_state::Shard;
use filberttrail_state::claim::{Operation, Outcome, Reply};
use filberttrail_test_support::walk::walk;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Has not written a claim yet.
    Claiming,
    /// Has sent a claim whose result it does not know.
    Submitted,
    /// Holds the key.
    Granted,
    /// Has run the request, but not recorded the outcome.
    Ran,
    /// Gave up before running the request, but has not released the key.
    Abandoned,
    /// Has nothing left to do.
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    phase: Phase,
    known: Option<(u8, Shard)>,
    attempts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    conditional: bool,
    version: u8,
    stored: Shard,
    sidecars: [Sidecar; 2],
    runs: u8,
    replayed: bool,
}

fn attempt(owner: usize, number: u8) -> Attempt {
    Attempt { owner: owner as u64, number: u64::from(number) }
}

fn outcome() -> Outcome {
    Outcome { status: 201, headers: vec![], body: "paid".into() }
}

fn claim(attempt: Attempt) -> Operation {
    Operation::Claim { key: "k".into(), request: "r".into(), attempt }
}

impl Model {
    fn new(conditional: bool) -> Self {
        let sidecar = Sidecar { phase: Phase::Claiming, known: None, attempts: 1 };
        Self {
            conditional,
            version: 0,
            stored: Shard::default(),
            sidecars: [sidecar.clone(), sidecar],
            runs: 0,
            replayed: false,
        }
    }

    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        for index in 0..2 {
            let mut add = |name: &str, change: &dyn Fn(&mut Self)| {
                let mut model = self.clone();
                change(&mut model);
                successors.push((format!("{index} {name}"), model));
            };
            match self.sidecars[index].phase {
                Phase::Claiming | Phase::Submitted => {
                    add("reads", &|model| model.read_object(index));
                    add("writes", &|model| model.write_claim(index, false));
                    add("writes, response lost", &|model| model.write_claim(index, true));
                    add("gives up", &|model| model.sidecars[index].phase = Phase::Abandoned);
                    add("crashes", &|model| model.crash(index));
                }
                Phase::Granted => {
                    add("runs", &|model| {
                        model.runs += 1;
                        model.sidecars[index].phase = Phase::Ran;
                    });
                    add("crashes", &|model| model.crash(index));
                }
                Phase::Ran => {
                    add("records", &|model| model.finish(index, true));
                    add("crashes", &|model| model.crash(index));
                }
                Phase::Abandoned => add("releases", &|model| model.finish(index, false)),
                Phase::Ended => add("retries", &|model| model.retry(index)),
            }
        }
        successors
    }

    fn id(&self, index: usize) -> Attempt {
        attempt(index, self.sidecars[index].attempts)
    }

    fn read_object(&mut self, index: usize) {
        self.sidecars[index].known = Some((self.version, self.stored.clone()));
    }

    fn write_claim(&mut self, index: usize, is_lost: bool) {
        let Some((version, mut shard)) = self.sidecars[index].known.clone() else { return };
        let reply = shard.apply(&claim(self.id(index)), NOW);
        match reply {
            Reply::Granted => {}
            Reply::Done(_) => {
                self.replayed = true;
                self.sidecars[index].phase = Phase::Ended;
                return;
            }
            _ => {
                self.sidecars[index].known = None;
                return;
            }
        }
        self.sidecars[index].known = None;
        self.sidecars[index].phase = Phase::Submitted;
        if self.conditional && version != self.version {
            return;
        }
        if shard != self.stored {
            self.stored = shard;
            self.version += 1;
        }
        if !is_lost {
            self.sidecars[index].phase = Phase::Granted;
        }
    }

    fn finish(&mut self, index: usize, ran: bool) {
        let (key, attempt) = ("k".to_string(), self.id(index));
        let operation = match ran {
            true => Operation::Record { key, attempt, outcome: outcome() },
            false => Operation::Release { key, attempt },
        };
        let before = self.stored.clone();
        self.stored.apply(&operation, NOW);
        self.version += u8::from(before != self.stored);
        self.sidecars[index].phase = Phase::Ended;
    }

    fn crash(&mut self, index: usize) {
        self.sidecars[index].phase = Phase::Ended;
        self.sidecars[index].known = None;
    }

    fn retry(&mut self, index: usize) {
        if self.sidecars[index].attempts < 2 {
            self.sidecars[index].attempts += 1;
            self.sidecars[index].phase = Phase::Claiming;
        }
    }

    fn violation(&self) -> Option<String> {
        (self.runs > 1).then(|| "the key ran twice".to_string())
    }
}

#[test]
fn a_key_runs_at_most_once() {
    let states = walk(Model::new(true), Model::successors, Model::violation).expect("no violation");
    assert!(states > 1_000, "only {states} states were walked");
}

#[test]
fn a_key_can_run_twice_with_unconditional_writes() {
    let violation = walk(Model::new(false), Model::successors, Model::violation);
    assert!(violation.expect_err("a violation").contains("ran twice"));
}

#[test]
fn returns_the_first_outcome_and_never_replaces_it() {
    let mut shard = Shard::default();
    let first = attempt(0, 1);
    assert_eq!(shard.apply(&claim(first), NOW), Reply::Granted);
    let record = |attempt, body: &str| Operation::Record {
        key: "k".into(),
        attempt,
        outcome: Outcome { body: body.into(), ..outcome() },
    };
    shard.apply(&record(first, "paid"), NOW);
    shard.apply(&record(first, "other"), NOW);
    shard.apply(&record(attempt(1, 1), "another"), NOW);
    assert_eq!(shard.apply(&claim(attempt(1, 1)), NOW), Reply::Done(outcome()));
}

#[test]
fn reports_a_mismatch_if_the_key_was_used_for_another_request() {
    let mut shard = Shard::default();
    shard.apply(&claim(attempt(0, 1)), NOW);
    let other = Operation::Claim { key: "k".into(), request: "x".into(), attempt: attempt(1, 1) };
    assert_eq!(shard.apply(&other, NOW), Reply::Mismatch);
}

#[test]
fn ignores_a_release_by_an_attempt_that_does_not_hold_the_key() {
    let mut shard = Shard::default();
    shard.apply(&claim(attempt(0, 1)), NOW);
    shard.apply(&Operation::Release { key: "k".into(), attempt: attempt(1, 1) }, NOW);
    assert_eq!(shard.apply(&claim(attempt(1, 1)), NOW), Reply::Held);
}

#[test]
fn a_full_object_refuses_claims_until_old_ones_expire() {
    let mut shard = Shard::default();
    let operation = |number: u32| Operation::Claim {
        key: format!("k{number}"),
        request: "r".into(),
        attempt: attempt(0, 1),
    };
    let refused = (0..10_000).find(|number| shard.apply(&operation(*number), NOW) == Reply::Full);
    let count = refused.expect("the object fills up");
    assert!(shard.bytes() <= filberttrail_state::claim::MAX_SHARD_BYTES);
    let later = filberttrail_state::claim::RETENTION * 2;
    assert_eq!(shard.apply(&operation(count), later), Reply::Granted);
    assert_eq!(shard.len(), 1);
}
