//! Runs one attempt: claims its idempotency key if it has one, sends the request to the upstream
//! and buffers the response.
//!
//! Invariant: the request is sent only after the ledger's `hand_over` returned `true` and, if it
//! has a key, after the claim is stored on the platform. An attempt is reported as not run only if
//! nothing was sent or the engine rejected the request before it started.

use crate::buffer::Buffer;
use crate::context::Context;
use crate::response::{collect, push_chunk};
use crate::trial::Trial;
use bytes::Bytes;
use filberttrail_kernel::Mechanism;
use filberttrail_kernel::id::{Attempt, ENGINE_INCARNATION_HEADER, Incarnation};
use filberttrail_protocol::frame::{Failure, Head, Key};
use filberttrail_protocol::{Cause, Offer, Ran};
use filberttrail_state::claim::{Operation, Outcome, Reply};
use filberttrail_web::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// When the entry should retry after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// How long a response is delayed at most until its outcome is stored.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay between attempts to claim a key that another attempt holds.
const HELD_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Timeout for storing a claim on the platform.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for storing a claim while the last call to the platform has failed.
const CLAIM_TIMEOUT_WHEN_FAILING: Duration = Duration::from_millis(250);
/// Maximum size of a body that is recorded as an outcome, in bytes.
const MAX_OUTCOME_BYTES: usize = 16_384;
/// Header that marks a recorded response of an earlier attempt.
const REPLAYED_HEADER: &str = "filberttrail-replayed";

/// Returns the failure of an attempt that was certainly not run.
pub fn not_run(cause: Cause) -> Failure {
    Failure { ran: Ran::No, cause, retry_after_ms: RETRY_AFTER.as_millis() as u64 }
}

/// Returns the failure of an attempt that may have been run.
pub fn unknown(cause: Cause) -> Failure {
    Failure { ran: Ran::Unknown, cause, retry_after_ms: RETRY_AFTER.as_millis() as u64 }
}

/// Runs an accepted attempt and ends its response.
pub async fn run(context: Arc<Context>, attempt: Attempt, offer: Offer, buffer: Arc<Buffer>) {
    let outcome =
        match offer.key.clone().filter(|_| context.settings.disabled.is_enabled(Mechanism::Claims))
        {
            Some(key) => run_keyed(&context, attempt, &offer, &buffer, key).await,
            None => run_unkeyed(&context, attempt, &offer, &buffer).await,
        };
    let label = match &outcome {
        Ok(()) => "answered".to_string(),
        Err(failure) => failure.cause.to_string(),
    };
    context.metrics.attempts.with_label_values(&[&label]).inc();
    let upstream = &context.settings.name;
    match outcome {
        Ok(()) => buffer.end(),
        Err(failure) => {
            let ran = failure.ran;
            log::info!("attempt {attempt} at {upstream} failed: {label}, ran {ran}");
            buffer.fail(failure);
        }
    }
}

async fn run_unkeyed(
    context: &Arc<Context>,
    attempt: Attempt,
    offer: &Offer,
    buffer: &Buffer,
) -> Result<(), Failure> {
    let (response, trial) = hand_over(context, attempt, offer).await?;
    let (head, body) = response.into_parts();
    buffer.push_head(convert_head(&head));
    let result = stream_body(context, body, buffer).await;
    context.finish(attempt, result.is_ok() && proves_capacity(&head));
    end_trial(trial, &head, result).await
}

async fn run_keyed(
    context: &Arc<Context>,
    attempt: Attempt,
    offer: &Offer,
    buffer: &Buffer,
    key: Key,
) -> Result<(), Failure> {
    let object = format!("claims/{}/{}", key.service, key.shard);
    match claim(context, attempt, offer, &object, &key).await {
        Ok(None) => {}
        Ok(Some(outcome)) => {
            context.mark_not_run(attempt);
            return replay(context, buffer, outcome).await;
        }
        Err(failure) => {
            context.mark_not_run(attempt);
            return Err(failure);
        }
    }
    let (response, trial) = match hand_over(context, attempt, offer).await {
        Ok(started) => started,
        Err(failure) => {
            if failure.ran == Ran::No {
                release(context, &object, &key, attempt);
            }
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let collected = collect(context, body);
    let body = match tokio::time::timeout(context.settings.head_wait, collected).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            context.finish(attempt, false);
            return Err(unknown(trial.fail().await));
        }
        Err(_) => {
            context.finish(attempt, false);
            return Err(unknown(Cause::BrokenOff));
        }
    };
    context.finish(attempt, proves_capacity(&head));
    end_trial(trial, &head, Ok(())).await?;
    let head = convert_head(&head);
    record(context, &object, &key, attempt, &head, &body).await;
    buffer.push_head(head);
    push_chunk(context, buffer, body).await
}

/// Claims the key. Returns `None` if it is granted to this attempt, or the recorded outcome of the
/// attempt that has already run.
async fn claim(
    context: &Context,
    attempt: Attempt,
    offer: &Offer,
    object: &str,
    key: &Key,
) -> Result<Option<Outcome>, Failure> {
    let was_held = AtomicBool::new(false);
    let failing = context.claims.counts().failing.load(Ordering::Relaxed);
    let claim_timeout = if failing { CLAIM_TIMEOUT_WHEN_FAILING } else { CLAIM_TIMEOUT };
    let timeout = Duration::from_millis(offer.patience_ms);
    let claiming = async {
        loop {
            let operation =
                Operation::Claim { key: key.digest.clone(), request: key.request.clone(), attempt };
            let submitted = context.claims.submit(object, operation);
            let reply = tokio::time::timeout(claim_timeout, submitted).await;
            match reply.unwrap_or(Ok(Reply::Applied)) {
                // A claim never results in `Applied`; here it stands for a timeout.
                Ok(Reply::Applied) => return None,
                Ok(Reply::Held) => {
                    was_held.store(true, Ordering::Relaxed);
                    tokio::time::sleep(HELD_RETRY_DELAY).await;
                }
                Ok(reply) => return Some(reply),
                Err(_) => return None,
            }
        }
    };
    let reply = tokio::time::timeout(timeout, claiming).await.unwrap_or(None);
    match reply {
        Some(Reply::Granted) => Ok(None),
        Some(Reply::Done(outcome)) => Ok(Some(outcome)),
        Some(Reply::Mismatch) => Err(not_run(Cause::KeyMismatch)),
        Some(Reply::Full) => Err(not_run(Cause::ClaimsFull)),
        _ => {
            // The claim may have been stored although its result was not received, so release it.
            release(context, object, key, attempt);
            Err(if was_held.into_inner() {
                unknown(Cause::KeyInUse)
            } else {
                not_run(Cause::Platform)
            })
        }
    }
}

fn release(context: &Context, object: &str, key: &Key, attempt: Attempt) {
    let operation = Operation::Release { key: key.digest.clone(), attempt };
    drop(context.claims.submit(object, operation));
}

async fn record(
    context: &Context,
    object: &str,
    key: &Key,
    attempt: Attempt,
    head: &Head,
    body: &Bytes,
) {
    let headers = head
        .headers
        .iter()
        .map(|(name, value)| (name.clone(), String::from_utf8_lossy(value).into_owned()));
    let mut outcome =
        Outcome { status: head.status, headers: headers.collect(), body: String::new() };
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= MAX_OUTCOME_BYTES => outcome.body = text.to_string(),
        _ => outcome.headers.push(("filberttrail-body".into(), "not kept".into())),
    }
    let operation = Operation::Record { key: key.digest.clone(), attempt, outcome };
    let recorded = context.claims.submit(object, operation);
    if tokio::time::timeout(RECORD_TIMEOUT, recorded).await.is_err() {
        let name = &context.settings.name;
        log::warn!("{name} sends the response of attempt {attempt} before its outcome is stored");
    }
}

async fn replay(context: &Context, buffer: &Buffer, outcome: Outcome) -> Result<(), Failure> {
    let mut headers: Vec<(String, Bytes)> =
        outcome.headers.into_iter().map(|(name, value)| (name, value.into())).collect();
    headers.push((REPLAYED_HEADER.to_string(), Bytes::from_static(b"true")));
    buffer.push_head(Head { status: outcome.status, headers });
    push_chunk(context, buffer, outcome.body.into()).await
}

/// Ends the trial of a request whose response has ended, and returns how it did.
async fn end_trial(
    mut trial: Trial,
    head: &hyper::http::response::Parts,
    result: Result<(), Failure>,
) -> Result<(), Failure> {
    match result {
        Ok(()) if head.status.is_server_error() => trial.cancel(),
        Ok(()) => trial.pass(),
        Err(Failure { cause: Cause::BrokenOff, .. }) => return Err(unknown(trial.fail().await)),
        // The upstream is only slow, or the caller is.
        Err(failure) => return Err(failure),
    }
    Ok(())
}

/// Sends the request to the upstream if the attempt may still be handed over, and returns the head
/// of the response.
async fn hand_over(
    context: &Arc<Context>,
    attempt: Attempt,
    offer: &Offer,
) -> Result<(hyper::Response<Incoming>, Trial), Failure> {
    let engine = context.engine_incarnation();
    let request = match build_request(offer, engine) {
        Ok(request) => request,
        Err(failure) => {
            context.mark_not_run(attempt);
            return Err(failure);
        }
    };
    // What is known of the request may have changed while its key was claimed.
    let mut trial = match Trial::begin(context, offer) {
        Ok(trial) => trial,
        Err(cause) => {
            context.mark_not_run(attempt);
            return Err(not_run(cause));
        }
    };
    if !context.hand_over(attempt) {
        trial.cancel();
        context.mark_not_run(attempt);
        return Err(not_run(Cause::Withdrawn));
    }
    let sending = context.client.send(context.settings.upstream, request);
    match tokio::time::timeout(context.settings.head_wait, sending).await {
        Ok(Ok(response)) => match refusing_incarnation(&response, engine) {
            Some(engine) => {
                trial.cancel();
                log::info!("{} has restarted with incarnation {engine}", context.settings.name);
                context.observe_engine(engine);
                context.mark_not_run(attempt);
                Err(not_run(Cause::Misdirected))
            }
            None => Ok((response, trial)),
        },
        Ok(Err(failure)) if !failure.sent => {
            trial.cancel();
            log::warn!("cannot connect to {}: {failure}", context.settings.name);
            context.mark_not_run(attempt);
            Err(not_run(Cause::Unreachable))
        }
        Ok(Err(failure)) => {
            log::warn!(
                "{} closed the connection before responding: {failure}",
                context.settings.name
            );
            context.finish(attempt, false);
            Err(unknown(trial.fail().await))
        }
        Err(_) => {
            context.finish(attempt, false);
            Err(unknown(Cause::TimedOut))
        }
    }
}

/// Returns whether a response shows that the upstream can handle its load. A server error does not.
fn proves_capacity(head: &hyper::http::response::Parts) -> bool {
    !head.status.is_server_error()
}

/// Returns the incarnation of the engine if it rejected the request because it was meant for
/// another incarnation.
fn refusing_incarnation(
    response: &hyper::Response<Incoming>,
    expected: Option<Incarnation>,
) -> Option<Incarnation> {
    if response.status() != hyper::StatusCode::PRECONDITION_FAILED {
        return None;
    }
    let engine = response.headers().get(ENGINE_INCARNATION_HEADER)?.to_str().ok()?.parse().ok()?;
    // If the incarnation is the expected one, the 412 is a response to the caller's own request.
    (expected? != engine).then_some(engine)
}

fn build_request(
    offer: &Offer,
    engine: Option<Incarnation>,
) -> Result<hyper::Request<Body>, Failure> {
    let mut request = hyper::Request::builder().method(offer.method.as_str()).uri(&offer.path);
    // A value from the caller is dropped: only the sidecar sets the expected incarnation.
    let headers = offer.headers.iter().filter(|(name, _)| name != ENGINE_INCARNATION_HEADER);
    for (name, value) in headers {
        request = request.header(name, value.as_ref());
    }
    if let Some(engine) = engine {
        request = request.header(ENGINE_INCARNATION_HEADER, engine);
    }
    // The entry has validated the request, so this fails only if entry and sidecar run different
    // releases.
    request.body(Body::new(offer.body.clone())).map_err(|_| not_run(Cause::Misdirected))
}

fn convert_head(head: &hyper::http::response::Parts) -> Head {
    let kept = head.headers.iter().filter(|(name, _)| !is_hop_by_hop_header(name.as_str()));
    let headers = kept
        .map(|(name, value)| (name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes())));
    Head { status: head.status.as_u16(), headers: headers.collect() }
}

fn is_hop_by_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection" | "transfer-encoding" | "keep-alive" | "upgrade" | "trailer" | "date"
    )
}

async fn stream_body(
    context: &Context,
    mut body: Incoming,
    buffer: &Buffer,
) -> Result<(), Failure> {
    let mut last = context.now();
    loop {
        let frame = match tokio::time::timeout(context.settings.pause_wait, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(()),
            Ok(Some(Err(_))) => return Err(unknown(Cause::BrokenOff)),
            Err(_) => return Err(unknown(Cause::TimedOut)),
        };
        let Ok(chunk) = frame.into_data() else { continue };
        let now = context.now();
        context.record_token(now.saturating_sub(last));
        push_chunk(context, buffer, chunk).await?;
        // The wait for memory is no gap between tokens.
        last = context.now();
    }
}
