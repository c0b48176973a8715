//! A data centre that is out of service gets no new requests once every entry and sidecar applies
//! the change.

use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_store::{Platform, configuration};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_that_is_out_of_service_gets_no_new_requests() {
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let platform = Platform::new(estate.platform);
    let take_out = |operation: &mut filberttrail_declare::Operation| {
        operation.data_centres_out.insert("harbour".into());
    };
    let (manifest, _) = configuration::change_operation(&platform, "test".into(), take_out)
        .await
        .expect("a change");
    wait_until_applied(&platform, manifest.generation).await;
    let is_out = |name: &str| {
        let upstreams = &estate.declarations.estate.upstreams;
        upstreams.iter().any(|item| item.name == name && item.data_centre == "harbour")
    };
    let count_started = || -> u64 {
        let engines = estate.engines().iter().filter(|(name, _)| is_out(name));
        engines.map(|(_, engine)| engine.counts().begun).sum()
    };
    let started_before = count_started();
    let caller = Caller::new("dev-key-00");
    for index in 0..60 {
        let entry = estate.caller_addresses[index % estate.caller_addresses.len()];
        let response = caller.complete(entry, &format!("question {index}"), 2, false).await;
        assert_eq!(response.expect("a response").status(), 200);
    }
    assert_eq!(count_started(), started_before);
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}

/// Waits until every entry reports that it and its sidecars apply a generation.
async fn wait_until_applied(platform: &Platform, generation: u64) {
    for _ in 0..600 {
        let all = filberttrail_store::status::read_all(platform).await.unwrap_or_default();
        let applied = all.iter().all(|status| {
            status.generation >= generation
                && status.upstreams.values().all(|applied| *applied >= generation)
        });
        if all.len() == 3 && applied {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("some entries or sidecars do not apply the change");
}
