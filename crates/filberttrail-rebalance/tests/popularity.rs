//! Tests of the popularity estimate from cumulative expert counts.

use filberttrail_rebalance::Plan;
use filberttrail_rebalance::popularity::Estimator;
use filberttrail_rebalance::report::{Counts, Report};
use filberttrail_rebalance::rollout::{self, Step};
use filberttrail_rebalance::sampler::{self, Sampler};
use std::time::Duration;

fn counts(counts: &[u64]) -> Counts {
    Counts { epoch: 1, counts: counts.to_vec() }
}

/// An estimator that gets the counts of one rank.
#[derive(Default)]
struct Rank {
    sampler: Sampler,
    popularity: Estimator,
}

impl Rank {
    fn observe(&mut self, now: Duration, counts: Counts, layers: usize) {
        if let Some(increments) = self.sampler.sample(now, counts) {
            self.popularity.observe(now, &increments, layers, 1);
        }
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn shares_of_each_layer_follow_the_latest_count_deltas() {
    let mut rank = Rank::default();
    rank.observe(at(0), counts(&[100, 100, 100, 100]), 2);
    assert!(rank.popularity.layers().is_empty(), "a single reading has no deltas");
    rank.observe(at(200), counts(&[130, 110, 100, 140]), 2);
    assert_eq!(rank.popularity.layers(), [vec![0.75, 0.25], vec![0.0, 1.0]]);
    for step in 2..20 {
        rank.observe(at(200 * step), counts(&[130, 110 + 40 * step, 100 + 40 * step, 140]), 2);
    }
    let layers = rank.popularity.layers();
    assert!(layers[0][1] > 0.95 && layers[1][0] > 0.95, "{layers:?}");
}

#[test]
fn counts_of_a_restarted_rank_are_taken_from_zero() {
    let mut rank = Rank::default();
    rank.observe(at(0), counts(&[1_000, 1_000]), 1);
    rank.observe(at(200), counts(&[30, 10]), 1);
    assert_eq!(rank.popularity.layers(), [vec![0.75, 0.25]]);
}

#[test]
fn a_window_without_tokens_leaves_the_shares_unchanged() {
    let mut rank = Rank::default();
    rank.observe(at(0), counts(&[0, 0]), 1);
    rank.observe(at(200), counts(&[3, 1]), 1);
    rank.observe(at(400), counts(&[3, 1]), 1);
    rank.observe(at(9_000), counts(&[3, 1]), 1);
    assert_eq!(rank.popularity.layers(), [vec![0.75, 0.25]]);
}

#[test]
fn a_sample_after_a_long_silence_is_only_a_new_base() {
    let mut rank = Rank::default();
    rank.observe(at(0), counts(&[0, 0]), 1);
    rank.observe(at(200), counts(&[3, 1]), 1);
    rank.observe(at(9_000), counts(&[3, 9_001]), 1);
    assert_eq!(rank.popularity.layers(), [vec![0.75, 0.25]]);
}

#[test]
fn increments_of_several_ranks_add_up() {
    let mut sum = Vec::new();
    for increments in [&[1, 2, 3][..], &[10, 20, 30], &[7]] {
        sampler::add(&mut sum, increments);
    }
    assert_eq!(sum, [11, 22, 33]);
}

/// Popularity shifts every few seconds on a group of 96 ranks: the next window has to show it, or
/// the map that is computed from it is outdated before it is in use. Single requests dominate the
/// window of a group of 8 ranks, which must not change its map as fast.
#[test]
fn the_next_window_of_a_large_group_shows_a_shift() {
    for (ranks, least, most) in [(96, 0.9, 1.0), (63, 0.8, 0.95), (8, 0.3, 0.6)] {
        let mut popularity = Estimator::new();
        popularity.observe(at(0), &[900, 100], 1, ranks);
        popularity.observe(at(250), &[100, 900], 1, ranks);
        let shown = (popularity.layers()[0][1] - 0.1) / 0.8;
        assert!((least..=most).contains(&shown), "{ranks} ranks: {shown}");
    }
}

/// Guards against a coordinator that ends because an engine reports numbers near the largest one.
#[test]
fn counts_and_passes_near_the_largest_number_do_not_overflow() {
    let mut rank = Rank::default();
    rank.observe(at(0), counts(&[0, 0]), 1);
    rank.observe(at(200), counts(&[u64::MAX, u64::MAX]), 1);
    assert_eq!(rank.popularity.layers(), [vec![0.5, 0.5]]);
    let mut sum = Vec::new();
    for _ in 0..2 {
        sampler::add(&mut sum, &[u64::MAX, 1]);
    }
    assert_eq!(sum, [u64::MAX, 2]);
    let report = Report {
        group: "g".to_string(),
        epoch: 1,
        rank: 0,
        size: 1,
        open: true,
        incarnation: 1,
        slowdown: 1.0,
        pass: u64::MAX,
        map: 1,
        prepared: Some(2),
        armed: None,
        held: None,
    };
    let plan = Plan {
        epoch: 1,
        version: 2,
        map: Default::default(),
        switch_pass: None,
        holder: 0,
        writer: String::new(),
    };
    let step = rollout::next_step(&plan, &[Some(report)], rollout::SWITCH_LEAD);
    assert_eq!(step, Step::Schedule(u64::MAX));
}
