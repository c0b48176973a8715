//! Tests of capacity shares and the retry budget. They guard against exceeding the bounds, against
//! a team that occupies the whole capacity, and against retries that amplify an overload.

use filberttrail_limit::shares::Bounds;
use filberttrail_limit::{Budget, Decision, Shares};
use filberttrail_test_support::property;
use std::time::Duration;

const CAPACITY: u32 = 20;

fn shares() -> Shares {
    Shares::new(Bounds { capacity: CAPACITY, queue: 10, wait: Duration::from_secs(2) })
}

#[test]
fn requests_in_flight_and_waiting_stay_within_the_bounds() {
    fn stays_within_bounds(actions: Vec<u8>) -> bool {
        let mut shares = shares();
        let mut running: Vec<&str> = Vec::new();
        let names = ["one", "two", "three"];
        let mut waiting: Vec<(u64, &str)> = Vec::new();
        for (step, action) in actions.iter().enumerate() {
            let now = Duration::from_millis(step as u64 * 10);
            let name = names[usize::from(action % 3)];
            if action % 4 == 3
                && let Some(name) = running.pop()
            {
                for ticket in shares.release(name, now) {
                    let position = waiting.iter().position(|(known, _)| *known == ticket);
                    running.push(waiting.remove(position.expect("a known ticket")).1);
                }
            } else {
                match shares.submit(name, 1, now) {
                    Decision::Admit => running.push(name),
                    Decision::Wait(ticket) => waiting.push((ticket, name)),
                    Decision::Refuse(after) => assert!(!after.is_zero()),
                }
            }
            let (in_flight, queued) = shares.usage();
            let counted = in_flight as usize == running.len() && queued as usize == waiting.len();
            if !counted || in_flight > CAPACITY || queued > 10 {
                return false;
            }
        }
        true
    }
    property::check(61, stays_within_bounds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_returning_team_is_admitted_from_the_reserve() {
    let mut shares = shares();
    let now = Duration::from_secs(1);
    while shares.submit("large", 1, now) == Decision::Admit {}
    assert_eq!(shares.submit("small", 1, now), Decision::Admit);
}

#[test]
fn a_single_team_may_use_all_capacity_except_the_reserve() {
    let mut shares = shares();
    let now = Duration::from_secs(1);
    let admitted = (0..CAPACITY).filter(|_| shares.submit("lone", 1, now) == Decision::Admit);
    assert_eq!(admitted.count(), CAPACITY as usize * 9 / 10);
}

#[test]
fn a_waiting_request_can_be_cancelled_only_once() {
    let mut shares = shares();
    let now = Duration::from_secs(1);
    let ticket = loop {
        if let Decision::Wait(ticket) = shares.submit("one", 1, now) {
            break ticket;
        }
    };
    assert!(shares.cancel("one", ticket));
    assert!(!shares.cancel("one", ticket));
}

#[test]
fn retries_stay_within_their_ratio_to_first_attempts() {
    let mut budget = Budget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        // Every attempt fails and is retried as often as the budget allows.
        while budget.withdraw() {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries} retries for 1000 first attempts");
}
