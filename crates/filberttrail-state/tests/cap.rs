//! Checks against a model of an engine that a cold engine never gets more concurrent requests than
//! it can handle.

use filberttrail_state::Cap;
use filberttrail_test_support::property;
use std::time::Duration;

const COLD: u32 = 4;
const WARM: u32 = 32;

/// An engine that handles its cold limit of requests plus one for each response that it completed
/// since it turned cold.
#[derive(Default)]
struct Engine {
    in_flight: u32,
    capacity: u32,
    incarnation: u64,
}

impl Engine {
    fn restart(&mut self) {
        self.incarnation += 1;
        self.in_flight = 0;
        self.capacity = COLD;
    }
}

/// Simulates new requests, complete responses and engine restarts. Returns whether the engine was
/// ever overloaded.
fn overloads(script: &[u8], capped: bool) -> bool {
    let mut engine = Engine { capacity: COLD, ..Engine::default() };
    let mut cap = Cap::new(COLD, WARM);
    cap.observe_incarnation(engine.incarnation);
    let mut now = Duration::ZERO;
    for step in script {
        now += Duration::from_millis(5);
        match step % 8 {
            0 if engine.in_flight > 0 => {
                let cut_off = engine.in_flight;
                engine.restart();
                // All of its streams break.
                (0..cut_off).for_each(|_| cap.finish(false, now));
                cap.observe_incarnation(engine.incarnation);
            }
            1 | 2 if engine.in_flight > 0 => {
                engine.in_flight -= 1;
                engine.capacity = (engine.capacity + 1).min(WARM);
                cap.finish(true, now);
            }
            _ => {
                if !capped || cap.admit(now) {
                    if engine.in_flight >= engine.capacity {
                        return true;
                    }
                    engine.in_flight += 1;
                }
            }
        }
    }
    false
}

#[test]
fn never_overloads_the_engine() {
    fn is_never_overloaded(script: Vec<u8>) -> bool {
        !overloads(&script, true)
    }
    property::check(21, is_never_overloaded as fn(Vec<u8>) -> bool);
}

#[test]
fn an_engine_without_a_cap_is_overloaded() {
    assert!(overloads(&[3; 10], false));
}

#[test]
fn no_progress_with_requests_in_flight_resets_to_the_cold_limit() {
    let mut cap = Cap::new(COLD, WARM);
    for _ in 0..40 {
        assert!(cap.admit(Duration::ZERO));
        cap.finish(true, Duration::ZERO);
    }
    assert_eq!(cap.limit(), WARM);
    (0..6).for_each(|_| assert!(cap.admit(Duration::ZERO)));
    let later = filberttrail_state::cap::PROGRESS_TIMEOUT * 2;
    assert!(!cap.admit(later));
    assert_eq!(cap.limit(), COLD);
}

#[test]
fn a_long_gap_between_tokens_resets_to_the_cold_limit() {
    let mut cap = Cap::new(COLD, WARM);
    (0..40).for_each(|_| {
        cap.admit(Duration::ZERO);
        cap.record_token(Duration::from_millis(30), Duration::ZERO);
        cap.finish(true, Duration::ZERO);
    });
    assert_eq!(cap.limit(), WARM);
    cap.record_token(Duration::from_millis(400), Duration::from_millis(400));
    assert_eq!(cap.limit(), COLD);
}

#[test]
fn a_late_report_does_not_restore_the_previous_incarnation() {
    let mut cap = Cap::new(COLD, WARM);
    cap.observe_incarnation(7);
    cap.observe_incarnation(8);
    cap.finish(true, Duration::ZERO);
    cap.observe_incarnation(7);
    assert_eq!((cap.incarnation(), cap.limit()), (Some(8), COLD + 1));
}
