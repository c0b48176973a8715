//! Engines that start cold, and everything at once through every entry.

use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_kernel::{Disabled, Mechanism};
use std::time::Duration;
use tokio::task::JoinSet;

const BURST: usize = 200;

/// Sends a burst to an estate that has just started; returns the requests above what engines bear.
async fn overloads(without: Disabled) -> u64 {
    let estate = Estate::start(Options { without, ..Options::default() }).await.expect("an estate");
    let mut running = JoinSet::new();
    for index in 0..BURST {
        let entry = estate.callers[index % estate.callers.len()];
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
async fn engines_that_start_cold_get_no_more_than_they_bear() {
    assert_eq!(overloads(Disabled::new()).await, 0);
    let without = Disabled::new().with_disabled(Mechanism::Cap);
    assert!(overloads(without).await > 0, "the burst cannot overload anything");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_cannot_say_which_life_of_an_engine_is_meant() {
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let caller = Caller::new("dev-key-00");
    let body = r#"{"model":"draft","prompt":"one","max_tokens":2}"#;
    let headers = [(ENGINE_INCARNATION_HEADER, "1")];
    let request = caller.request("POST", "/v1/completions", &headers, body);
    let answer = caller.call(estate.callers[0], request, Duration::from_secs(30)).await;
    assert_eq!(answer.expect("an answer").status(), 200);
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}
