//! A cold upstream is never given more than it bears, against a model of one.

use filberttrail_state::Cap;
use filberttrail_test_support::property;
use std::time::Duration;

const COLD: u32 = 4;
const WARM: u32 = 32;

/// An engine that bears its cold limit plus one for each whole answer since it turned cold.
#[derive(Default)]
struct Engine {
    in_flight: u32,
    bearable: u32,
    life: u64,
}

impl Engine {
    fn turn_cold(&mut self) {
        self.life += 1;
        self.in_flight = 0;
        self.bearable = COLD;
    }
}

/// Plays arrivals, whole answers and cold starts; returns whether the engine was overloaded.
fn overloads(script: &[u8], capped: bool) -> bool {
    let mut engine = Engine { bearable: COLD, ..Engine::default() };
    let mut cap = Cap::new(COLD, WARM);
    cap.observe(engine.life);
    let mut now = Duration::ZERO;
    for step in script {
        now += Duration::from_millis(5);
        match step % 8 {
            0 if engine.in_flight > 0 => {
                let broken = engine.in_flight;
                engine.turn_cold();
                // Its streams break off, one after the other.
                (0..broken).for_each(|_| cap.finish(false, now));
                cap.observe(engine.life);
            }
            1 | 2 if engine.in_flight > 0 => {
                engine.in_flight -= 1;
                engine.bearable = (engine.bearable + 1).min(WARM);
                cap.finish(true, now);
            }
            _ => {
                if !capped || cap.admit(now) {
                    if engine.in_flight >= engine.bearable {
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
fn the_engine_is_never_given_more_than_it_bears() {
    fn bears(script: Vec<u8>) -> bool {
        !overloads(&script, true)
    }
    property::check(21, bears as fn(Vec<u8>) -> bool);
}

#[test]
fn without_the_cap_the_engine_is_overloaded() {
    assert!(overloads(&[3; 10], false));
}

#[test]
fn silence_with_work_in_flight_counts_as_cold() {
    let mut cap = Cap::new(COLD, WARM);
    for _ in 0..40 {
        assert!(cap.admit(Duration::ZERO));
        cap.finish(true, Duration::ZERO);
    }
    assert_eq!(cap.limit(), WARM);
    (0..6).for_each(|_| assert!(cap.admit(Duration::ZERO)));
    let late = filberttrail_state::cap::SILENCE * 2;
    assert!(!cap.admit(late));
    assert_eq!(cap.limit(), COLD);
}

#[test]
fn a_jump_of_the_step_time_counts_as_cold() {
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
fn a_late_report_does_not_bring_the_former_life_back() {
    let mut cap = Cap::new(COLD, WARM);
    cap.observe(7);
    cap.observe(8);
    cap.finish(true, Duration::ZERO);
    cap.observe(7);
    assert_eq!((cap.incarnation(), cap.limit()), (Some(8), COLD + 1));
}
