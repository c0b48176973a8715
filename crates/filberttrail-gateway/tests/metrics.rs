//! What the gateway's own figures say.

use filberttrail_gateway::metrics::Metrics;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(3);

#[test]
fn the_part_of_events_within_a_bound_is_counted() {
    let metrics = Metrics::new().expect("metrics");
    assert_eq!(metrics.relayed_within(BOUND), (0, None));
    for ms in [0, 1, 2, 2, 4, 20, 20_000, 1] {
        metrics.note_relay(Duration::from_millis(ms));
    }
    assert_eq!(metrics.relayed_within(BOUND), (8, Some(5.0 / 8.0)));
}

#[test]
fn a_bound_that_is_not_the_histograms_has_no_part() {
    let metrics = Metrics::new().expect("metrics");
    metrics.note_relay(Duration::from_millis(1));
    assert_eq!(metrics.relayed_within(Duration::from_millis(5)), (1, None));
}
