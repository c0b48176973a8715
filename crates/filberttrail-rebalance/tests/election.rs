//! Simulates the coordinator election of a group with and without network partitions. The tests
//! guard against several simultaneous coordinators and against a group that is left without one.

use filberttrail_rebalance::Report;
use filberttrail_rebalance::election::Election;
use filberttrail_rebalance::peer::Contact;
use std::time::Duration;

const RANKS: usize = 32;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn report(rank: usize, epoch: u64, open: bool) -> Report {
    Report {
        group: "g".into(),
        epoch,
        rank,
        size: RANKS,
        open,
        incarnation: 1,
        slowdown: 1.0,
        pass: 0,
        map: 0,
        prepared: None,
        armed: None,
        held: None,
    }
}

struct Group {
    now: Duration,
    elections: Vec<Election>,
    last_contacts: Vec<Option<Contact>>,
}

impl Group {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            elections: (0..RANKS).map(|_| Election::new()).collect(),
            last_contacts: vec![None; RANKS],
        }
    }

    /// Simulates the group for `duration` and returns the ranks that coordinated. Calls from a
    /// coordinator arrive at the ranks for which `reaches(coordinator, rank)` is true.
    fn simulate(
        &mut self,
        duration: Duration,
        epoch: u64,
        open: bool,
        reaches: impl Fn(usize, usize) -> bool,
    ) -> Vec<usize> {
        let mut coordinated = Vec::new();
        let until = self.now + duration;
        while self.now < until {
            let coordinators: Vec<usize> = (0..RANKS)
                .filter(|&rank| {
                    let report = report(rank, epoch, open);
                    self.elections[rank].should_coordinate(
                        &report,
                        self.last_contacts[rank],
                        self.now,
                    )
                })
                .collect();
            for &from in &coordinators {
                for rank in (0..RANKS).filter(|rank| *rank != from && reaches(from, *rank)) {
                    self.last_contacts[rank] = Some(Contact { rank: from, at: self.now });
                }
            }
            coordinated.extend(coordinators);
            self.now += POLL_INTERVAL;
        }
        coordinated.sort_unstable();
        coordinated.dedup();
        coordinated
    }
}

#[test]
fn only_rank_zero_coordinates_a_fully_connected_group() {
    let mut group = Group::new();
    assert_eq!(group.simulate(Duration::from_secs(20), 1, true, |_, _| true), [0]);
}

#[test]
fn rank_zero_alone_coordinates_after_a_partition_closes_and_reopens_the_group() {
    let mut group = Group::new();
    group.simulate(Duration::from_secs(5), 1, true, |_, _| true);
    // The engines report a closed group while no rank reaches any other.
    group.simulate(Duration::from_secs(6), 1, false, |_, _| false);
    assert_eq!(group.simulate(Duration::from_secs(10), 2, true, |_, _| true), [0]);
}

#[test]
fn rank_zero_alone_coordinates_when_the_epoch_changes_during_a_partition() {
    let mut group = Group::new();
    group.simulate(Duration::from_secs(5), 1, true, |_, _| true);
    group.simulate(Duration::from_millis(700), 1, true, |_, _| false);
    assert_eq!(group.simulate(Duration::from_millis(700), 2, true, |_, _| false), [0]);
    assert_eq!(group.simulate(Duration::from_secs(10), 2, true, |_, _| true), [0]);
}

#[test]
fn rank_one_takes_over_when_rank_zero_is_unreachable() {
    let mut group = Group::new();
    group.simulate(Duration::from_secs(5), 1, true, |_, _| true);
    // Rank 0 is down: its calls reach no other rank.
    let coordinated = group.simulate(Duration::from_millis(2_000), 1, true, |from, _| from != 0);
    assert_eq!(coordinated, [0, 1]);
}
