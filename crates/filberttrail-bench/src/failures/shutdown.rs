//! Checks that a graceful shutdown interrupts no request.

use super::context::Context;
use super::report::Promise;
use filberttrail_dev::caller::parse_streamed_text;
use filberttrail_kernel::{Mechanism, Result};
use filberttrail_stand_in::text;
use filberttrail_store::configuration;
use std::time::Duration;
use tokio::task::JoinSet;

/// Concurrent streams.
const STREAMS: usize = 24;
/// Length of each response, in words.
const WORDS: u64 = 200;

/// Requests the shutdown of an entry and of sidecars twice while they stream and the configuration
/// changes, and checks that all streams complete.
pub async fn check_graceful_shutdown(mut context: Context) -> Result<Promise> {
    let mut promise = Promise::new("a graceful shutdown cuts off nothing", Mechanism::Drain);
    context.warm_up(120).await;
    let mut streams = JoinSet::new();
    for index in 0..STREAMS {
        let caller = context.caller();
        let entry = context.estate.caller_addresses[index % context.estate.caller_addresses.len()];
        streams.spawn(async move {
            let prompt = format!("long {index}");
            let response = caller.complete(entry, &prompt, WORDS, true).await.ok();
            let is_complete = response.is_some_and(|response| {
                parse_streamed_text(response.body())
                    .is_some_and(|got| got == text::generate(&prompt, WORDS))
            });
            (!is_complete).then(|| format!("'{prompt}' was cut off"))
        });
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let drain_is_enabled = context.is_enabled(Mechanism::Drain);
    let mut leaving = Vec::new();
    leaving.extend(context.estate.take_entry(0));
    for name in ["engine-00", "engine-04", "engine-08", "engine-12"] {
        leaving.extend(context.estate.take_sidecar(name));
    }
    let stopping = tokio::task::spawn_blocking(move || {
        for cell in &leaving {
            cell.request_stop();
            cell.request_stop();
        }
        for cell in leaving {
            if drain_is_enabled { cell.stop() } else { cell.kill() }
        }
    });
    configuration::change_operation(&context.platform, "bench".into(), |operation| {
        operation.preset = "maintenance".into();
    })
    .await?;
    while let Some(outcome) = streams.join_next().await {
        promise.record_case(outcome.unwrap_or_else(|error| Some(error.to_string())));
    }
    let _ = stopping.await;
    context.finish().await;
    Ok(promise)
}
