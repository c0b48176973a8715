//! A burst of requests through every entry to engines that have just started cold, and a request
//! with a forged engine incarnation header.

use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_kernel::{Disabled, Mechanism};
use std::time::Duration;
use tokio::task::JoinSet;

const BURST_REQUESTS: usize = 200;

/// Sends a burst to an estate that has just started; returns how many requests exceeded the
/// concurrency limit of their engine.
async fn count_overloads(disabled: Disabled) -> u64 {
    let estate =
        Estate::start(Options { disabled, ..Options::default() }).await.expect("an estate");
    let mut running = JoinSet::new();
    for index in 0..BURST_REQUESTS {
        let entry = estate.caller_addresses[index % estate.caller_addresses.len()];
        running.spawn(async move {
            let caller = Caller::new("dev-key-00");
            let _ = caller.complete(entry, &format!("burst {index}"), 10, index % 2 == 0).await;
        });
    }
    while running.join_next().await.is_some() {}
    let overloads = estate.engines().values().map(|engine| engine.counts().overloads).sum();
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
    overloads
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_engines_get_no_requests_above_their_concurrency_limit() {
    assert_eq!(count_overloads(Disabled::new()).await, 0);
    let disabled = Disabled::new().with_disabled(Mechanism::Cap);
    assert!(
        count_overloads(disabled).await > 0,
        "the burst overloads no engine even without the cap"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ignores_the_engine_incarnation_header_of_a_caller() {
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let caller = Caller::new("dev-key-00");
    let body = r#"{"model":"draft","prompt":"one","max_tokens":2}"#;
    let headers = [(ENGINE_INCARNATION_HEADER, "1")];
    let request = caller.request("POST", "/v1/completions", &headers, body);
    let response = caller.call(estate.caller_addresses[0], request, Duration::from_secs(30)).await;
    assert_eq!(response.expect("a response").status(), 200);
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}
