//! Checks on the recorded traces that decisions meet their targets, and that simpler policies do
//! not.

use filberttrail_bench::{departure, limits, placement, routing, scale, traces};

const SEED: u64 = 1;

#[test]
fn the_recorded_traces_are_what_the_recorder_writes() {
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
        assert!(recorded.contains(&text), "{name} is recorded otherwise now");
    }
}

#[test]
fn few_moves_meet_the_target_on_the_recorded_traces() {
    let size = placement::Size { ranks: 256, experts: 128, slots: 2 };
    for trace in traces::popularity().expect("traces") {
        let terms = filberttrail_place::Terms::default();
        let play =
            |name: &str| placement::replay_trace(name, &trace, size, &terms).expect("a play");
        let (full, few, never) = (play("full-repack"), play("few-moves"), play("never"));
        assert!(few.skew_p95 <= placement::SKEW_TARGET * full.skew_p95, "{few:?}");
        assert!(few.bytes as f64 <= placement::BYTES_TARGET * full.bytes as f64, "{few:?}");
        assert!(few.skew_p95 < never.skew_p95);
    }
}

#[test]
fn expected_wait_meets_the_target_on_the_recorded_traces() {
    let outcome = routing::compare(SEED, &traces::requests().expect("traces")).expect("a replay");
    assert!(outcome.shared_ratio <= routing::RATIO_TARGET, "{}", outcome.shared_ratio);
    assert!(outcome.own_ratio <= 1.0, "{}", outcome.own_ratio);
}

#[test]
fn a_loud_team_leaves_a_quiet_one_alone() {
    let outcome = limits::compare(SEED).expect("a play");
    assert!(outcome.shares_ratio <= limits::RATIO_TARGET, "{outcome:?}");
    assert!(
        outcome.queue_ratio > limits::RATIO_TARGET,
        "the common queue is no contrast: {outcome:?}"
    );
}

#[test]
fn a_returning_data_centre_is_not_overloaded() {
    let outcome = departure::compare(SEED).expect("a play");
    assert_eq!(outcome.overloads, 0);
    assert!(outcome.naive_overloads > 0, "the play without the ramp is no contrast");
}

#[test]
fn data_connections_carry_a_change_to_everybody() {
    let outcome = scale::compare(SEED).expect("a count");
    let ours = outcome.rows.last().expect("rows");
    assert_eq!(ours.extra_connections, 0);
    assert_eq!(ours.cut_off, 0);
    assert_eq!(ours.reached_from_one, 1_840);
}
