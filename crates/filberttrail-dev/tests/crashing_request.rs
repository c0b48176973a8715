//! A call that ends each instance of a service which runs it, through the gates of the sidecars.

use filberttrail_dev::{Caller, Estate, Options};
use std::time::Duration;

const BAD: &str = r#"{"amount":-1}"#;
/// Instances that a call may end, and the calls that may still reach one after that.
const RUNS: usize = 3 + 3;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_crashes_a_service_behind_sidecars_stops_reaching_it() {
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let caller = Caller::new("dev-key-00");
    let service = estate.service("counter").expect("a service").clone();
    let address = estate.upstream_address("counter-0").expect("an address");
    let faults = format!(r#"{{"crash-on":{}}}"#, serde_json::json!(BAD));
    let faults = caller.request("PUT", "/control/faults", &[], faults);
    let set = caller.call(address, faults, Duration::from_secs(10)).await;
    assert_eq!(set.expect("a response").status(), 200);
    for number in 0..12 {
        let entry = estate.caller_addresses[number % estate.caller_addresses.len()];
        let key = format!("notice-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let request = caller.request("POST", "/services/counter/payments", &headers, BAD);
        let _ = caller.call(entry, request, Duration::from_secs(30)).await;
    }
    let runs: u64 = service.actions().values().sum();
    assert!(runs as usize <= RUNS, "it reached the service {runs} times in 12 calls");
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}
