//! Checks on the recorded traces that decisions meet their targets, and that simpler policies do
//! not.

use filberttrail_bench::{departure, limits, placement, routing, scale, traces};

const SEED: u64 = 1;

#[test]
fn recorded_traces_equal_generated_ones() {
    let recorded: Vec<String> = traces::popularity()
        .expect("traces")
        .iter()
        .map(|trace| serde_json::to_string(trace).expect("JSON"))
        .chain(
            traces::requests()
                .expect("traces")
                .iter()
                .map(|trace| serde_json::to_string(trace).expect("JSON")),
        )
        .collect();
    for (name, text) in traces::record_all() {
        assert!(recorded.contains(&text), "{name} differs from the recorded trace");
    }
}

#[test]
fn few_moves_meets_its_targets_on_recorded_traces() {
    let size = placement::Size { ranks: 256, experts: 128, slots: 2 };
    for trace in traces::popularity().expect("traces") {
        let terms = filberttrail_place::Constraints::default();
        let replay =
            |name: &str| placement::replay_trace(name, &trace, size, &terms).expect("a result");
        let (full, few, never) = (replay("full-repack"), replay("few-moves"), replay("never"));
        assert!(few.skew_p95 <= placement::SKEW_TARGET * full.skew_p95, "{few:?}");
        assert!(few.bytes as f64 <= placement::BYTES_TARGET * full.bytes as f64, "{few:?}");
        assert!(few.skew_p95 < never.skew_p95);
    }
}

#[test]
fn expected_wait_meets_its_targets_on_recorded_traces() {
    let outcome = routing::compare(SEED, &traces::requests().expect("traces")).expect("a result");
    assert!(outcome.shared_ratio <= routing::RATIO_TARGET, "{}", outcome.shared_ratio);
    assert!(outcome.own_ratio <= 1.0, "{}", outcome.own_ratio);
}

#[test]
fn shares_protect_a_quiet_team_from_a_loud_one() {
    let outcome = limits::compare(SEED).expect("a result");
    assert!(outcome.shares_ratio <= limits::RATIO_TARGET, "{outcome:?}");
    assert!(
        outcome.queue_ratio > limits::RATIO_TARGET,
        "the common queue must miss the target: {outcome:?}"
    );
}

#[test]
fn ramp_prevents_overload_of_a_returning_data_centre() {
    let outcome = departure::compare(SEED).expect("a result");
    assert_eq!(outcome.overloads, 0);
    assert!(outcome.naive_overloads > 0, "the simulation without the ramp must overload engines");
}

#[test]
fn data_connections_spread_a_change_to_all_nodes() {
    let outcome = scale::compare(SEED).expect("a result");
    let ours = outcome.rows.last().expect("rows");
    assert_eq!(ours.extra_connections, 0);
    assert_eq!(ours.cut_off, 0);
    assert_eq!(ours.reached_from_one, 1_840);
}
