//! Metrics of the gateway.

use filberttrail_gateway::metrics::Metrics;
use filberttrail_gateway::unreadable::Unreadable;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(3);

#[test]
fn relayed_within_returns_the_fraction_of_events_within_a_bucket_bound() {
    let metrics = Metrics::new().expect("metrics");
    assert_eq!(metrics.relayed_within(BOUND), (0, None));
    for ms in [0, 1, 2, 2, 4, 20, 20_000, 1] {
        metrics.record_relay(Duration::from_millis(ms));
    }
    assert_eq!(metrics.relayed_within(BOUND), (8, Some(5.0 / 8.0)));
}

#[test]
fn relayed_within_returns_no_fraction_for_a_bound_without_a_bucket() {
    let metrics = Metrics::new().expect("metrics");
    metrics.record_relay(Duration::from_millis(1));
    assert_eq!(metrics.relayed_within(Duration::from_millis(5)), (1, None));
}

#[test]
fn shows_the_active_generation_and_the_age_of_the_stores_responses() {
    let metrics = Metrics::new().expect("metrics");
    metrics.set_generation(23);
    metrics.set_store_age("config", Duration::from_millis(1_500));
    let text = String::from_utf8(metrics.render().expect("metrics")).expect("UTF-8 text");
    assert!(text.contains("filberttrail_generation 23"), "{text}");
    assert!(text.contains(r#"filberttrail_store_age_seconds{kind="config"} 1.5"#), "{text}");
}

/// Guards against a log line for each heartbeat of an unreadable object.
#[test]
fn an_unreadable_object_is_logged_once_and_counted_each_time() {
    let (metrics, unreadable) = (Metrics::new().expect("metrics"), Unreadable::default());
    let logged: Vec<bool> = ["a", "b", "a", "a"]
        .into_iter()
        .map(|name| {
            metrics.record_unreadable("servers");
            unreadable.note("servers", name)
        })
        .collect();
    assert_eq!(logged, [true, true, false, false]);
    assert!(unreadable.note("config", "a"), "names are unique within a kind only");
    let text = String::from_utf8(metrics.render().expect("metrics")).expect("UTF-8 text");
    assert!(text.contains(r#"filberttrail_unreadable_objects_total{kind="servers"} 4"#), "{text}");
}
