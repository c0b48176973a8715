//! Checks that a response is delivered complete and in order if its chunks arrive out of order, are
//! duplicated or get lost.

use filberttrail_state::Assembly;
use filberttrail_state::assembly::Arrival;
use filberttrail_test_support::property;

const TOTAL: u64 = 12;

/// Feeds chunks in the given order, requests resends until the response is complete, and returns
/// the delivered sequence numbers.
fn deliver(arrivals: &[u8]) -> Vec<u64> {
    let mut assembly = Assembly::new();
    let mut delivered = Vec::new();
    let mut receive = |assembly: &mut Assembly, sequence| {
        if assembly.receive_chunk(sequence) == Arrival::InOrder {
            delivered.push(sequence);
        }
    };
    for arrival in arrivals {
        receive(&mut assembly, u64::from(*arrival) % TOTAL);
    }
    while let Arrival::Gap(next) = assembly.receive_end(TOTAL) {
        // The sidecar resends from the first missing chunk; each resend carries at most 3 chunks.
        (next..(next + 3).min(TOTAL)).for_each(|sequence| receive(&mut assembly, sequence));
    }
    delivered
}

#[test]
fn delivers_each_chunk_once_in_order() {
    fn is_complete(arrivals: Vec<u8>) -> bool {
        deliver(&arrivals) == (0..TOTAL).collect::<Vec<_>>()
    }
    property::check(11, is_complete as fn(Vec<u8>) -> bool);
}

#[test]
fn an_end_frame_before_the_last_chunk_does_not_complete_the_response() {
    let mut assembly = Assembly::new();
    assert_eq!(assembly.receive_chunk(0), Arrival::InOrder);
    assert_eq!(assembly.receive_end(2), Arrival::Gap(1));
    assert_eq!(assembly.receive_chunk(0), Arrival::Duplicate);
    assert_eq!(assembly.receive_chunk(1), Arrival::InOrder);
    assert_eq!(assembly.receive_end(2), Arrival::Complete);
}
