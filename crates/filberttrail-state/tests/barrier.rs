//! Checks that no step mixes two expert maps, by exploring every interleaving of two lease holders,
//! late and duplicate messages, and restarting ranks.

use filberttrail_kernel::id::MapVersion;
use filberttrail_state::barrier::{Readiness, Rollout, Staging, build_version};
use filberttrail_test_support::walk::walk;
use std::collections::BTreeSet;

const RANKS: usize = 3;
const HOLDERS: usize = 2;
/// Maximum number of rank restarts in one explored run.
const RESTARTS: u8 = 1;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Stage { rank: usize, version: MapVersion },
    Staged { holder: usize, rank: usize, version: MapVersion },
    Activate { version: MapVersion },
}

/// A state of the model. Messages stay in the set `sent`, so each can arrive late and more than
/// once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    uncoordinated: bool,
    stagings: [Staging; RANKS],
    last_staged: [MapVersion; RANKS],
    active: MapVersion,
    holders: [Rollout; HOLDERS],
    sent: BTreeSet<Message>,
    restarts: u8,
    has_mixed_step: bool,
    last_step: MapVersion,
}

fn map_version(holder: usize) -> MapVersion {
    build_version(holder as u64 + 1, 1)
}

impl Model {
    fn new(uncoordinated: bool) -> Self {
        let mut holders = [Rollout::new(RANKS as u32, 0), Rollout::new(RANKS as u32, 0)];
        for (holder, rollout) in holders.iter_mut().enumerate() {
            rollout.propose(map_version(holder));
        }
        Self {
            uncoordinated,
            stagings: std::array::from_fn(|_| Staging::new()),
            last_staged: [0; RANKS],
            active: 0,
            holders,
            sent: BTreeSet::new(),
            restarts: 0,
            has_mixed_step: false,
            last_step: 0,
        }
    }

    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        let mut add = |name: String, change: &dyn Fn(&mut Self)| {
            let mut model = self.clone();
            change(&mut model);
            successors.push((name, model));
        };
        for holder in 0..HOLDERS {
            // A holder that was paused may still do this after its lease has expired.
            add(format!("holder {holder} stages"), &|model| model.send_stage_messages(holder));
            if self.holders[holder].active() == map_version(holder) {
                add(format!("holder {holder} activates"), &|model| {
                    model.sent.insert(Message::Activate { version: map_version(holder) });
                });
            }
        }
        for message in &self.sent {
            add(format!("{message:?}"), &|model| model.deliver(message));
        }
        if self.restarts < RESTARTS {
            for rank in 0..RANKS {
                add(format!("rank {rank} restarts"), &|model| model.restart(rank));
            }
        }
        add("step".into(), &|model| model.run_step());
        successors
    }

    fn send_stage_messages(&mut self, holder: usize) {
        for rank in 0..RANKS {
            self.sent.insert(Message::Stage { rank, version: map_version(holder) });
        }
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::Stage { rank, version } => {
                if self.stagings[rank].stage(version) {
                    self.last_staged[rank] = version;
                    for holder in 0..HOLDERS {
                        self.sent.insert(Message::Staged { holder, rank, version });
                    }
                }
            }
            Message::Staged { holder, rank, version } => {
                self.holders[holder].record_staged(rank as u32, version);
            }
            Message::Activate { version } => {
                if self.stagings[0].may_activate(version) {
                    self.active = version;
                }
            }
        }
    }

    fn restart(&mut self, rank: usize) {
        self.restarts += 1;
        self.stagings[rank] = Staging::new();
        self.last_staged[rank] = 0;
        if rank == 0 {
            self.active = 0;
        }
    }

    /// Runs a step with the version that the leader chose. Uncoordinated ranks each use the version
    /// that they staged last.
    fn run_step(&mut self) {
        let versions: BTreeSet<MapVersion> = if self.uncoordinated {
            self.last_staged.iter().copied().filter(|version| *version != 0).collect()
        } else {
            if self.active == 0 {
                return;
            }
            let ready = |staging: &Staging| staging.readiness(self.active) == Readiness::Ready;
            if !self.stagings.iter().all(ready) {
                return;
            }
            BTreeSet::from([self.active])
        };
        self.has_mixed_step |= versions.len() > 1;
        self.last_step = versions.last().copied().unwrap_or(self.last_step);
    }

    fn violation(&self) -> Option<String> {
        self.has_mixed_step.then(|| "a step ran on two maps".to_string())
    }
}

#[test]
fn no_step_mixes_two_map_versions() {
    let states =
        walk(Model::new(false), Model::successors, Model::violation).expect("no violation");
    assert!(states > 1_000, "only {states} states were walked");
}

#[test]
fn uncoordinated_ranks_mix_map_versions() {
    let violation = walk(Model::new(true), Model::successors, Model::violation);
    assert!(violation.expect_err("a violation").contains("two maps"));
}

#[test]
fn a_step_can_run_with_the_map_of_either_holder() {
    for holder in 0..HOLDERS {
        let used =
            |model: &Model| (model.last_step == map_version(holder)).then(|| "used".to_string());
        assert!(
            walk(Model::new(false), Model::successors, used).is_err(),
            "no run reaches a step with the map of holder {holder}"
        );
    }
}

#[test]
fn rejects_maps_of_an_earlier_holder_once_a_higher_fence_is_known() {
    let mut staging = Staging::new();
    assert!(staging.stage(build_version(2, 1)));
    assert!(!staging.stage(build_version(1, 9)));
    assert!(!staging.may_activate(build_version(1, 9)));
    staging.raise_fence(5);
    assert!(
        !staging.may_activate(build_version(2, 1)),
        "a fence read from the lease object counts too"
    );
}

#[test]
fn a_rank_without_staged_maps_holds_the_step() {
    let mut staging = Staging::new();
    staging.stage(build_version(1, 1));
    assert_eq!(staging.readiness(build_version(1, 1)), Readiness::Ready);
    assert_eq!(Staging::new().readiness(build_version(1, 1)), Readiness::Hold);
}
