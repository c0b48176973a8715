//! Checks that each holder of a lease gets a higher fence than the one before it, even if leases
//! expire or processes pause.

use filberttrail_state::Lease;
use filberttrail_state::lease::{TERM, VALIDITY};
use filberttrail_test_support::property;
use std::time::Duration;

/// Simulates two candidates for the lease in one object. Returns the fences in the order in which
/// they were acquired.
fn simulate(script: &[u8]) -> Vec<u64> {
    let mut leases = [Lease::new(), Lease::new()];
    let mut object: Option<u64> = None;
    let mut fences = Vec::new();
    let mut now = Duration::from_secs(60);
    for step in script {
        let (process, action) = (usize::from(step % 2), step / 2 % 5);
        let lease = &mut leases[process];
        match action {
            0 => now += Duration::from_secs(1),
            1 => now += TERM,
            2 => lease.observe(object, now),
            3 => {
                if let Some(version) = lease.acquirable_version(now)
                    && version == object.unwrap_or(0)
                {
                    let fence = Lease::next_fence(version);
                    object = Some(object.unwrap_or(0) + 1);
                    lease.record_acquisition(fence, object.unwrap_or(0), now);
                    fences.push(fence);
                }
            }
            _ => {
                if lease.fence(now).is_some() {
                    object = object.map(|version| version + 1);
                    lease.record_renewal(object.unwrap_or(0), now);
                }
            }
        }
    }
    fences
}

#[test]
fn later_holders_get_higher_fences() {
    fn fences_rise(script: Vec<u8>) -> bool {
        simulate(&script).windows(2).all(|pair| pair[0] < pair[1])
    }
    property::check(31, fences_rise as fn(Vec<u8>) -> bool);
}

#[test]
fn a_holder_whose_renewal_is_too_old_has_no_fence() {
    let mut lease = Lease::new();
    lease.observe(None, Duration::from_secs(60));
    assert_eq!(lease.acquirable_version(Duration::from_secs(60)), Some(0));
    lease.record_acquisition(1, 1, Duration::from_secs(60));
    assert_eq!(lease.fence(Duration::from_secs(60)), Some(1));
    assert_eq!(lease.fence(Duration::from_secs(60) + VALIDITY), None);
}

#[test]
fn a_candidate_waits_a_whole_term_after_the_last_change_that_it_observed() {
    let mut lease = Lease::new();
    lease.observe(Some(4), Duration::from_secs(1));
    assert_eq!(lease.acquirable_version(Duration::from_secs(2)), None);
    lease.observe(Some(5), Duration::from_secs(6));
    assert_eq!(lease.acquirable_version(Duration::from_secs(8)), None, "it was renewed in between");
    assert_eq!(lease.acquirable_version(Duration::from_secs(6) + TERM), Some(5));
}
