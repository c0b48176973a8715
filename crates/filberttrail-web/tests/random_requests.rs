//! Random requests, well-formed or not, against a running server.
//!
//! `FILBERTTRAIL_CASES` sets the number of cases of a longer run by hand, and `FILBERTTRAIL_SEED` its
//! seed. Case N of a run has the seed of the run plus N.

mod support;

use filberttrail_test_support::case::{Case, read_case_count, read_seed};
use filberttrail_test_support::expected::Expected;
use filberttrail_web::Limits;
use std::collections::HashMap;
use std::time::Duration;
use support::{BODY_LIMIT, Server};
use tokio::task::JoinSet;

/// Number of cases in CI.
const CASES: u64 = 3_000;
/// Seed in CI.
const SEED: u64 = 38;
/// Time in which a body must arrive. No case waits for it, and on a loaded machine a valid body takes
/// long when many cases are sent at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of cases that are sent at once.
const CONCURRENT: u64 = 100;

fn head(id: &str) -> String {
    format!("POST /any HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n")
}

/// Guards against panics on any input, and against requests that are run with another body than theirs
/// or although they were malformed or not complete.
#[tokio::test]
async fn random_requests_are_run_whole_or_not_at_all() {
    let (cases, seed) = (read_case_count(CASES), read_seed(SEED));
    let server = Server::start_with(Limits::default(), BODY_TIMEOUT).await;
    let mut counts: HashMap<u16, u64> = HashMap::new();
    for first in (0..cases).step_by(CONCURRENT as usize) {
        let mut sending = JoinSet::new();
        for number in first..cases.min(first + CONCURRENT) {
            let case_seed = seed.wrapping_add(number);
            let case = Case::generate(case_seed, BODY_LIMIT, head);
            let address = server.address;
            sending.spawn(async move {
                let statuses = case.send(address).await;
                (case_seed, case, statuses)
            });
        }
        let outcomes = sending.join_all().await;
        let mut runs: HashMap<u64, Vec<(String, Vec<u8>)>> = HashMap::new();
        for (id, body) in server.take_runs() {
            assert!(body.len() <= BODY_LIMIT, "{id} ran with {} bytes", body.len());
            let case_seed = id.strip_prefix("case-").and_then(|rest| rest.split('-').next());
            if let Some(case_seed) = case_seed.and_then(|case_seed| case_seed.parse().ok()) {
                runs.entry(case_seed).or_default().push((id, body));
            }
        }
        for (case_seed, case, statuses) in outcomes {
            for status in &statuses {
                *counts.entry(*status).or_default() += 1;
                let is_clear = matches!(status, 200 | 400 | 408 | 413 | 414 | 431);
                assert!(is_clear, "seed {case_seed}: {status}");
            }
            let runs = runs.remove(&case_seed).unwrap_or_default();
            match &case.expected {
                Expected::Runs(expected) => {
                    assert_eq!(runs, *expected, "seed {case_seed}");
                    assert_eq!(statuses, vec![200; expected.len()], "seed {case_seed}");
                }
                Expected::Nothing => {
                    assert_eq!(runs, [], "seed {case_seed}");
                    assert!(!statuses.contains(&200), "seed {case_seed}");
                }
                Expected::Anything => {}
            }
        }
        server.check(&format!("seeds {first} to {} after {seed}", first + CONCURRENT)).await;
    }
    println!("{cases} cases from seed {seed}: responses by status {counts:?}");
    server.stop().await;
}
