//! Checks that a caller gets the whole response to its own request, or an explicit error.

use super::context::Context;
use super::report::Promise;
use filberttrail_dev::caller::parse_streamed_text;
use filberttrail_kernel::{Mechanism, Result};
use filberttrail_stand_in::text;
use std::time::Duration;
use tokio::task::JoinSet;

/// Concurrent streams of a round.
const STREAMS: usize = 48;
/// Rounds: sidecars frozen, sidecars killed, and an engine made cold.
const ROUNDS: usize = 3;
/// Length of each response, in words.
const WORDS: u64 = 250;

/// How a stream ended: complete, with an error, refused before it began, or with wrong or missing
/// content.
enum Outcome {
    Complete,
    Interrupted,
    Refused,
    Wrong(String),
}

/// Freezes, kills and restarts sidecars while streams run, and checks each stream's response.
pub async fn check_responses(mut context: Context) -> Result<Promise> {
    let mut promise = Promise::new("own and whole answers", Mechanism::Assembly);
    context.warm_up(240).await;
    let (mut interruptions, mut refused) = ([0; ROUNDS], 0);
    for (round, interrupted) in interruptions.iter_mut().enumerate() {
        let mut streams = start_streams(&context, round);
        tokio::time::sleep(Duration::from_millis(700)).await;
        match round {
            // The sidecars are frozen for longer than the timeout of a silent connection, then
            // resume.
            0 => {
                for name in ["engine-00", "engine-05", "engine-10"] {
                    drop(freeze_for(&context, name, Duration::from_millis(2_700)));
                }
            }
            1 => {
                for name in ["engine-01", "engine-06"] {
                    if let Some(cell) = context.estate.take_sidecar(name) {
                        cell.kill();
                        context.estate.start_sidecar(name)?;
                    }
                }
            }
            _ => context.script_engine("engine-02", r#"{"cold":true}"#).await,
        }
        while let Some(outcome) = streams.join_next().await {
            match outcome {
                Ok(Outcome::Complete) => promise.record_case(None),
                Ok(Outcome::Interrupted) => {
                    *interrupted += 1;
                    promise.record_case(None);
                }
                Ok(Outcome::Refused) => {
                    refused += 1;
                    promise.record_case(None);
                }
                Ok(Outcome::Wrong(description)) => promise.record_case(Some(description)),
                Err(error) => promise.record_case(Some(error.to_string())),
            }
        }
    }
    promise.record_count("refused", refused);
    for (cause, interrupted) in ["frozen", "killed", "cold"].iter().zip(interruptions) {
        promise.record_count(&format!("ended with a plain error, {cause}"), interrupted);
    }
    context.finish().await;
    Ok(promise)
}

/// Freezes a sidecar for a time in a background task.
fn freeze_for(
    context: &Context,
    name: &str,
    time: Duration,
) -> Option<tokio::task::JoinHandle<()>> {
    let freeze_guard = context.estate.freeze_sidecar(name, time * 2)?;
    Some(tokio::spawn(async move {
        tokio::time::sleep(time).await;
        drop(freeze_guard);
    }))
}

fn start_streams(context: &Context, round: usize) -> JoinSet<Outcome> {
    let mut streams = JoinSet::new();
    for index in 0..STREAMS {
        let caller = context.caller();
        let entry = context.estate.caller_addresses[index % context.estate.caller_addresses.len()];
        streams.spawn(async move {
            let prompt = format!("question {round} {index}");
            let response = caller.complete(entry, &prompt, WORDS, true).await;
            classify_response(&prompt, response.ok())
        });
    }
    streams
}

fn classify_response(prompt: &str, response: Option<hyper::Response<bytes::Bytes>>) -> Outcome {
    let Some(response) = response else { return Outcome::Interrupted };
    if !response.status().is_success() {
        return Outcome::Refused;
    }
    let body = String::from_utf8_lossy(response.body()).into_owned();
    if body.contains("event: error") {
        return Outcome::Interrupted;
    }
    match parse_streamed_text(response.body()) {
        Some(streamed) if streamed == text::generate(prompt, WORDS) => Outcome::Complete,
        Some(streamed) => {
            let words = streamed.split_whitespace().count();
            Outcome::Wrong(format!("'{prompt}' got a wrong response of {words} words"))
        }
        None => Outcome::Wrong(format!("'{prompt}' ended early without an error event")),
    }
}
