//! Who coordinates a group, played on ranks that hear each other or do not.

use filberttrail_rebalance::Report;
use filberttrail_rebalance::peer::Heard;
use filberttrail_rebalance::turn::Turn;
use std::time::Duration;

const RANKS: usize = 32;
const LOOK: Duration = Duration::from_millis(50);

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
    turns: Vec<Turn>,
    heard: Vec<Option<Heard>>,
}

impl Group {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            turns: (0..RANKS).map(|_| Turn::new()).collect(),
            heard: vec![None; RANKS],
        }
    }

    /// Plays a while; ranks for which `reaches` is true hear whoever coordinates. Returns who did.
    fn play(
        &mut self,
        lasts: Duration,
        epoch: u64,
        open: bool,
        reaches: impl Fn(usize, usize) -> bool,
    ) -> Vec<usize> {
        let mut coordinated = Vec::new();
        let until = self.now + lasts;
        while self.now < until {
            let mine: Vec<usize> = (0..RANKS)
                .filter(|&rank| {
                    let report = report(rank, epoch, open);
                    self.turns[rank].is_mine(&report, self.heard[rank], self.now)
                })
                .collect();
            for &by in &mine {
                for rank in (0..RANKS).filter(|rank| *rank != by && reaches(by, *rank)) {
                    self.heard[rank] = Some(Heard { rank: by, at: self.now });
                }
            }
            coordinated.extend(mine);
            self.now += LOOK;
        }
        coordinated.sort_unstable();
        coordinated.dedup();
        coordinated
    }
}

#[test]
fn the_first_rank_alone_coordinates_a_sound_group() {
    let mut group = Group::new();
    assert_eq!(group.play(Duration::from_secs(20), 1, true, |_, _| true), [0]);
}

#[test]
fn a_group_that_opens_again_after_a_cut_has_one_coordinator() {
    let mut group = Group::new();
    group.play(Duration::from_secs(5), 1, true, |_, _| true);
    // The ranks' engines report that the group is broken; nobody reaches anybody.
    group.play(Duration::from_secs(6), 1, false, |_, _| false);
    assert_eq!(group.play(Duration::from_secs(10), 2, true, |_, _| true), [0]);
}

#[test]
fn a_group_that_changed_its_epoch_while_its_coordinators_were_cut_off_has_one_coordinator() {
    let mut group = Group::new();
    group.play(Duration::from_secs(5), 1, true, |_, _| true);
    group.play(Duration::from_millis(700), 1, true, |_, _| false);
    assert_eq!(group.play(Duration::from_millis(700), 2, true, |_, _| false), [0]);
    assert_eq!(group.play(Duration::from_secs(10), 2, true, |_, _| true), [0]);
}

#[test]
fn the_next_rank_takes_over_from_a_lost_one() {
    let mut group = Group::new();
    group.play(Duration::from_secs(5), 1, true, |_, _| true);
    // The first rank's rebalancer is gone: its own turn is not played, so it reaches nobody.
    let coordinated = group.play(Duration::from_millis(2_000), 1, true, |by, _| by != 0);
    assert_eq!(coordinated, [0, 1]);
}
