//! The size of messages between entries.

use filberttrail_fleet::blame::{Crash, Ledger};
use filberttrail_gateway::message::SIZE_LIMIT;
use std::time::Duration;

fn encoded_size(ledger: &mut Ledger, at: Duration) -> usize {
    let mut encoded = Vec::new();
    ciborium::into_writer(&ledger.report(at), &mut encoded).expect("a report");
    encoded.len()
}

/// A data centre is lost with hundreds of requests on its upstreams, and they come again.
#[test]
fn a_report_fits_into_a_message_whatever_was_accused() {
    let mut ledger = Ledger::new();
    assert!(encoded_size(&mut ledger, Duration::ZERO) < 64, "with nothing to tell");
    for subject in 0..600_u64 {
        let crash = Crash { upstream: subject as u32 % 40, incarnation: 1_700_000_000_000 };
        ledger.record_crash(Duration::ZERO, crash, &[u64::MAX - subject], &[]);
    }
    let one_crash_each = encoded_size(&mut ledger, Duration::from_millis(10));
    assert!(one_crash_each < 1_400, "{one_crash_each} bytes are more than a packet");
    // They go on to crash upstreams within a second, which counts as one cause.
    for number in 0..32 {
        let crash = Crash { upstream: u32::MAX - number, incarnation: u64::MAX };
        for subject in 0..600_u64 {
            ledger.record_crash(Duration::from_millis(20), crash, &[u64::MAX - subject], &[]);
        }
    }
    for subject in 0..1_024 {
        ledger.condemn(Duration::from_millis(20), u64::MAX / 2 - subject);
    }
    let most = encoded_size(&mut ledger, Duration::from_millis(30));
    assert!(most < SIZE_LIMIT / 2, "{most} bytes");
}
