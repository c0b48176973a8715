//! The whole answer, whatever order chunks come in, however often, and whatever is lost.

use filberttrail_state::Assembly;
use filberttrail_state::assembly::Arrival;
use filberttrail_test_support::property;

const TOTAL: u64 = 12;

/// Hands chunks in, asks again for what is missing, and returns what was handed on.
fn play(arrivals: &[u8]) -> Vec<u64> {
    let mut assembly = Assembly::new();
    let mut handed_on = Vec::new();
    let mut take = |assembly: &mut Assembly, sequence| {
        if assembly.receive_chunk(sequence) == Arrival::InOrder {
            handed_on.push(sequence);
        }
    };
    for arrival in arrivals {
        take(&mut assembly, u64::from(*arrival) % TOTAL);
    }
    while let Arrival::Gap(next) = assembly.receive_end(TOTAL) {
        // The sidecar sends again from the one that is missing; the last one may be lost again.
        (next..(next + 3).min(TOTAL)).for_each(|sequence| take(&mut assembly, sequence));
    }
    handed_on
}

#[test]
fn chunks_are_handed_on_once_in_order_and_whole() {
    fn whole(arrivals: Vec<u8>) -> bool {
        play(&arrivals) == (0..TOTAL).collect::<Vec<_>>()
    }
    property::check(11, whole as fn(Vec<u8>) -> bool);
}

#[test]
fn an_end_that_comes_early_is_not_whole() {
    let mut assembly = Assembly::new();
    assert_eq!(assembly.receive_chunk(0), Arrival::InOrder);
    assert_eq!(assembly.receive_end(2), Arrival::Gap(1));
    assert_eq!(assembly.receive_chunk(0), Arrival::Duplicate);
    assert_eq!(assembly.receive_chunk(1), Arrival::InOrder);
    assert_eq!(assembly.receive_end(2), Arrival::Complete);
}
