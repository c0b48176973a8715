//! A call that ends each instance of a service which runs it, through the gates of the sidecars.

use bytes::Bytes;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::{Disabled, Mechanism};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;

const BAD: &str = r#"{"amount":-1}"#;
const SOUND: &str = r#"{"amount":12}"#;
/// Instances that a call may end, and the calls that may still reach one after that.
const RUNS: u64 = 3 + 3;
/// Time after which a suspect may be tried again: longer than the second that its settling takes.
const TRIAL_PAUSE: Duration = Duration::from_millis(1_200);

/// Starts an estate whose service ends under calls with the body [`BAD`].
async fn start_estate(caller: &Caller, disabled: Disabled) -> Estate {
    let options = Options { disabled, ..Options::default() };
    let estate = Estate::start(options).await.expect("an estate");
    let address = estate.upstream_address("counter-0").expect("an address");
    let faults = format!(r#"{{"crash-on":{}}}"#, serde_json::json!(BAD));
    let faults = caller.request("PUT", "/control/faults", &[], faults);
    let set = caller.call(address, faults, Duration::from_secs(10)).await;
    assert_eq!(set.expect("a response").status(), 200);
    estate
}

/// Sends a payment, with an idempotency key or without, and returns the response.
async fn pay(
    caller: &Caller,
    entry: SocketAddr,
    key: Option<&str>,
    body: &str,
) -> hyper::Response<Bytes> {
    let headers: Vec<_> = key.iter().map(|key| ("idempotency-key", *key)).collect();
    let request = caller.request("POST", "/services/counter/payments", &headers, body.to_string());
    caller.call(entry, request, Duration::from_secs(30)).await.expect("a response")
}

fn count_runs(estate: &Estate) -> u64 {
    estate.service("counter").expect("a service").actions().values().sum()
}

async fn stop(estate: Estate) {
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}

/// Returns how often a call that comes again twelve times reaches a service that it crashes.
async fn count_runs_of_twelve_calls(disabled: Disabled, keyed: bool) -> u64 {
    let caller = Caller::new("dev-key-00");
    let estate = start_estate(&caller, disabled).await;
    for number in 0..12 {
        let entry = estate.caller_addresses[number % estate.caller_addresses.len()];
        let key = format!("notice-{number}");
        pay(&caller, entry, keyed.then_some(key.as_str()), BAD).await;
    }
    let runs = count_runs(&estate);
    stop(estate).await;
    runs
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_crashes_a_service_behind_sidecars_stops_reaching_it() {
    let runs = count_runs_of_twelve_calls(Disabled::new(), true).await;
    assert!(runs <= RUNS, "it reached the service {runs} times in 12 calls");
    let runs = count_runs_of_twelve_calls(Disabled::new(), false).await;
    assert!(runs <= RUNS, "without keys, it reached the service {runs} times in 12 calls");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_blame_a_call_that_crashes_a_service_goes_on_to_reach_it() {
    let disabled = Disabled::new().with_disabled(Mechanism::Blame);
    let runs = count_runs_of_twelve_calls(disabled, false).await;
    assert!(runs > RUNS, "it reached the service only {runs} times in 12 calls");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_keeps_crashing_a_service_is_refused_for_good_and_others_are_served() {
    let caller = Caller::new("dev-key-00");
    let estate = start_estate(&caller, Disabled::new()).await;
    let entries = &estate.caller_addresses;
    for number in 0..8 {
        let entry = entries[number % entries.len()];
        let before = count_runs(&estate);
        let response = pay(&caller, entry, Some(&format!("bad-{number}")), BAD).await;
        assert!(!response.status().is_success(), "call {number}: {response:?}");
        if count_runs(&estate) > before {
            let problem: serde_json::Value =
                serde_json::from_slice(response.body()).expect("a problem document");
            assert_eq!(problem["ran"], "unknown", "call {number}: {response:?}");
        }
        tokio::time::sleep(TRIAL_PAUSE).await;
        // Sound calls of the same caller, to the same path and upstream.
        let response = pay(&caller, entry, Some(&format!("sound-{number}")), SOUND).await;
        assert_eq!(response.status(), StatusCode::CREATED, "sound call {number}");
    }
    let before = count_runs(&estate);
    for (number, entry) in entries.iter().enumerate() {
        let response = pay(&caller, *entry, Some(&format!("late-{number}")), BAD).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "late call {number}");
    }
    let after = count_runs(&estate);
    assert_eq!(after, before, "condemned calls reach no service");
    assert!(after - 8 <= RUNS, "it reached the service {} times", after - 8);
    stop(estate).await;
}
