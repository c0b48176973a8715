//! Checks that a cold upstream gets no more requests than it can run.

use super::context::Context;
use super::report::Promise;
use filberttrail_kernel::{Mechanism, Result};
use std::time::Duration;
use tokio::task::JoinSet;

/// Requests sent concurrently in each round, spread over all entries.
const BURST: usize = 240;
/// Length of each response, in words.
const WORDS: u64 = 20;

/// Sends a burst of requests to cold engines, then makes engines cold again under full load.
pub async fn check_cold_capacity(context: Context) -> Result<Promise> {
    let mut promise = Promise::new("a cold upstream bears its load", Mechanism::Cap);
    for round in 0..4 {
        let running = start_burst(&context, round);
        tokio::time::sleep(Duration::from_millis(150)).await;
        if round > 0 {
            for name in ["engine-01", "engine-06", "engine-11"] {
                let script = if round == 2 {
                    r#"{"cold":true,"silent":true,"stall-ms":1500}"#
                } else {
                    r#"{"cold":true}"#
                };
                context.script_engine(name, script).await;
            }
        }
        let answered = count_answered(running).await;
        promise.record_count(&format!("round {round}: answered of {BURST}"), answered);
    }
    for (name, engine) in context.estate.engines() {
        let counts = engine.counts();
        for _ in 0..counts.begun.saturating_sub(counts.overloads) {
            promise.record_case(None);
        }
        for _ in 0..counts.overloads {
            promise.record_case(Some(format!("{name} got a request above its capacity")));
        }
    }
    context.finish().await;
    Ok(promise)
}

fn start_burst(context: &Context, round: usize) -> JoinSet<bool> {
    let mut running = JoinSet::new();
    for index in 0..BURST {
        let caller = context.caller();
        let entry = context.estate.caller_addresses[index % context.estate.caller_addresses.len()];
        running.spawn(async move {
            let prompt = format!("burst {round} {index}");
            let response = caller.complete(entry, &prompt, WORDS, index % 2 == 0).await;
            response.is_ok_and(|response| response.status().is_success())
        });
    }
    running
}

async fn count_answered(mut running: JoinSet<bool>) -> u64 {
    let mut answered = 0;
    while let Some(outcome) = running.join_next().await {
        answered += u64::from(outcome.unwrap_or(false));
    }
    answered
}
