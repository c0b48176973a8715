//! Tests of the popularity estimate from cumulative expert counts.

use filberttrail_rebalance::popularity::Estimator;
use filberttrail_rebalance::report::Counts;
use std::time::Duration;

fn counts(counts: &[u64]) -> Counts {
    Counts { epoch: 1, counts: counts.to_vec() }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn shares_of_each_layer_follow_the_latest_count_deltas() {
    let mut popularity = Estimator::new();
    popularity.observe(at(0), &[(0, counts(&[100, 100, 100, 100]))], 2);
    assert!(popularity.layers().is_empty(), "a single reading has no deltas");
    popularity.observe(at(200), &[(0, counts(&[130, 110, 100, 140]))], 2);
    assert_eq!(popularity.layers(), [vec![0.75, 0.25], vec![0.0, 1.0]]);
    for step in 2..20 {
        popularity.observe(
            at(200 * step),
            &[(0, counts(&[130, 110 + 40 * step, 100 + 40 * step, 140]))],
            2,
        );
    }
    let layers = popularity.layers();
    assert!(layers[0][1] > 0.95 && layers[1][0] > 0.95, "{layers:?}");
}

#[test]
fn counts_of_a_restarted_rank_are_taken_from_zero() {
    let mut popularity = Estimator::new();
    popularity.observe(at(0), &[(0, counts(&[1_000, 1_000]))], 1);
    popularity.observe(at(200), &[(0, counts(&[30, 10]))], 1);
    assert_eq!(popularity.layers(), [vec![0.75, 0.25]]);
}

#[test]
fn a_window_without_tokens_leaves_the_shares_unchanged() {
    let mut popularity = Estimator::new();
    popularity.observe(at(0), &[(0, counts(&[0, 0]))], 1);
    popularity.observe(at(200), &[(0, counts(&[3, 1]))], 1);
    popularity.observe(at(9_000), &[(0, counts(&[3, 1]))], 1);
    assert_eq!(popularity.layers(), [vec![0.75, 0.25]]);
}
