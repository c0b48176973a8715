//! Checks which body gives way when memory is short, and when a shortage starts and ends.

use filberttrail_web::crowd::{Ledger, Shortage};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn insert(ledger: &mut Ledger, team: &str, bytes: usize, seconds_ago: u64) -> u64 {
    let since = NOW - Duration::from_secs(seconds_ago);
    let id = ledger.insert(team, since);
    ledger.set_bytes(id, bytes, since);
    id
}

/// Guards against a new body that is refused while old ones keep their memory.
#[test]
fn the_body_with_most_byte_seconds_gives_way() {
    let mut ledger = Ledger::new();
    let large = insert(&mut ledger, "a", 1_000, 10);
    insert(&mut ledger, "a", 5_000, 1);
    let new = insert(&mut ledger, "a", 9_000, 0);
    assert_eq!(ledger.choose(Some(new), 100, NOW), Some(large));
    assert_eq!(ledger.choose(None, 100, NOW), Some(large));
}

/// Guards against bytes that count for the time before the body held them.
#[test]
fn bytes_count_from_the_time_at_which_they_were_added() {
    let mut ledger = Ledger::new();
    let grown = insert(&mut ledger, "a", 10, 50);
    ledger.set_bytes(grown, 1_000, NOW - Duration::from_secs(1));
    let steady = insert(&mut ledger, "a", 100, 20);
    assert_eq!(ledger.choose(None, 1, NOW), Some(steady));
}

/// Guards against a team with many bodies that displaces those of others.
#[test]
fn the_team_with_most_bytes_gives_way() {
    let mut ledger = Ledger::new();
    insert(&mut ledger, "other", 4_000, 60);
    let hostile = insert(&mut ledger, "hostile", 3_000, 2);
    insert(&mut ledger, "hostile", 3_000, 1);
    assert_eq!(ledger.choose(None, 1, NOW), Some(hostile));
}

/// Guards against a growing body that evicts one of a smaller team, although its own team is the largest
/// with the bytes that it asks for.
#[test]
fn the_added_bytes_count_for_the_team_of_the_growing_body() {
    let mut ledger = Ledger::new();
    insert(&mut ledger, "other", 4_000, 60);
    let growing = insert(&mut ledger, "hostile", 3_000, 1);
    assert_eq!(ledger.choose(Some(growing), 2_000, NOW), Some(growing));
}

/// Guards against the eviction of a body whose request runs, for which a refusal would be a lie.
#[test]
fn a_pinned_body_never_gives_way() {
    let mut ledger = Ledger::new();
    let pinned = insert(&mut ledger, "a", 9_000, 60);
    assert!(ledger.pin(pinned));
    assert_eq!(ledger.choose(None, 1, NOW), None);
    let other = insert(&mut ledger, "b", 10, 1);
    assert_eq!(ledger.choose(None, 1, NOW), Some(other));
    ledger.remove(pinned);
    assert!(!ledger.pin(pinned));
}

/// Guards against a choice among equals that refuses the growing body first.
#[test]
fn another_body_gives_way_before_the_growing_one() {
    let mut ledger = Ledger::new();
    let first = insert(&mut ledger, "a", 100, 5);
    let second = insert(&mut ledger, "a", 100, 5);
    assert_eq!(ledger.choose(Some(first), 1, NOW), Some(second));
    assert_eq!(ledger.choose(Some(second), 1, NOW), Some(first));
}

/// Guards against a log line for each team of a flood with many keys.
#[test]
fn a_report_names_the_largest_teams_only() {
    let mut ledger = Ledger::new();
    for number in 0..10 {
        insert(&mut ledger, &format!("team-{number}"), 100 + number, 0);
    }
    let report = ledger.report();
    assert_eq!(report.bodies, 10);
    let names: Vec<&str> = report.largest.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["team-9", "team-8", "team-7"]);
}

/// Guards against a log line for each refusal, and against a pair of lines for each wave of a flood.
#[test]
fn a_shortage_starts_and_ends_once() {
    let mut shortage = Shortage::new();
    assert_eq!(shortage.end(NOW), None);
    assert!(shortage.record(NOW));
    assert!(!shortage.record(NOW + Duration::from_secs(4)));
    assert_eq!(shortage.end(NOW + Duration::from_secs(8)), None);
    assert_eq!(shortage.end(NOW + Duration::from_secs(9)), Some(2));
    assert_eq!(shortage.end(NOW + Duration::from_secs(20)), None);
    assert!(shortage.record(NOW + Duration::from_secs(21)));
}
