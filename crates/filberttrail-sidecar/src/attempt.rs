//! Runs one attempt: claim, hand over, answer.
//!
//! Invariant: nothing is sent to the upstream before the ledger's `hand_over` says yes, and with a
//! key not before its claim lasts. "Not run" is said only where nothing was sent.

use crate::gate::Gate;
use crate::tape::Tape;
use bytes::Bytes;
use filberttrail_kernel::Mechanism;
use filberttrail_kernel::id::{Attempt, ENGINE_LIFE, Incarnation};
use filberttrail_protocol::frame::{Failure, Head, Key};
use filberttrail_protocol::{Cause, Offer, Ran};
use filberttrail_state::claim::{Operation, Outcome, Reply};
use filberttrail_web::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// When to come back to an upstream that is full or out.
const SOON: Duration = Duration::from_millis(1_000);
/// How long an answer is held back until its outcome lasts.
const RECORD_WAIT: Duration = Duration::from_millis(2_000);
/// How often a key held by another attempt is looked at again.
const HELD_PAUSE: Duration = Duration::from_millis(150);
/// How long a claim waits for the platform.
const CLAIM_WAIT: Duration = Duration::from_millis(1_500);
/// How long a claim waits for a platform that is known to fail.
const CLAIM_WAIT_FAILING: Duration = Duration::from_millis(250);
/// The longest body kept as an outcome, in bytes.
const OUTCOME_BYTES: usize = 16_384;
/// The longest answer to a keyed request, in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// Marks an answer that was recorded before.
const REPLAYED: &str = "filberttrail-replayed";

/// Builds the failure of an attempt that was not handed over.
pub fn not_run(cause: Cause) -> Failure {
    Failure { ran: Ran::No, cause, retry_after_ms: SOON.as_millis() as u64 }
}

fn unknown(cause: Cause) -> Failure {
    Failure { ran: Ran::Unknown, cause, retry_after_ms: SOON.as_millis() as u64 }
}

/// Runs an accepted attempt to its end.
pub async fn run(gate: Arc<Gate>, attempt: Attempt, offer: Offer, tape: Arc<Tape>) {
    let outcome = match offer.key.clone().filter(|_| gate.settings.without.has(Mechanism::Claims)) {
        Some(key) => run_keyed(&gate, attempt, &offer, &tape, key).await,
        None => run_plain(&gate, attempt, &offer, &tape).await,
    };
    let label = match &outcome {
        Ok(()) => "answered".to_string(),
        Err(failure) => failure.cause.to_string(),
    };
    gate.metrics.attempts.with_label_values(&[&label]).inc();
    let upstream = &gate.settings.name;
    match outcome {
        Ok(()) => tape.end(),
        Err(failure) => {
            let ran = failure.ran;
            log::info!("attempt {attempt} at {upstream} failed: {label}, ran {ran}");
            tape.fail(failure);
        }
    }
}

async fn run_plain(
    gate: &Gate,
    attempt: Attempt,
    offer: &Offer,
    tape: &Tape,
) -> Result<(), Failure> {
    let response = hand_over(gate, attempt, offer).await?;
    let (head, body) = response.into_parts();
    tape.put_head(head_of(&head));
    let whole = copy(gate, body, tape).await;
    gate.finish(attempt, whole.is_ok() && bears_more(&head));
    whole
}

async fn run_keyed(
    gate: &Gate,
    attempt: Attempt,
    offer: &Offer,
    tape: &Tape,
    key: Key,
) -> Result<(), Failure> {
    let object = format!("claims/{}/{}", key.service, key.shard);
    match claim(gate, attempt, offer, &object, &key).await {
        Ok(None) => {}
        Ok(Some(outcome)) => {
            gate.mark_not_run(attempt);
            replay(tape, outcome);
            return Ok(());
        }
        Err(failure) => {
            gate.mark_not_run(attempt);
            return Err(failure);
        }
    }
    let response = match hand_over(gate, attempt, offer).await {
        Ok(response) => response,
        Err(failure) => {
            if failure.ran == Ran::No {
                release(gate, &object, &key, attempt);
            }
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let collected = http_body_util::Limited::new(body, ANSWER_BYTES).collect();
    let body = match tokio::time::timeout(gate.settings.head_wait, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        _ => {
            gate.finish(attempt, false);
            return Err(unknown(Cause::BrokenOff));
        }
    };
    gate.finish(attempt, bears_more(&head));
    let head = head_of(&head);
    record(gate, &object, &key, attempt, &head, &body).await;
    tape.put_head(head);
    tape.put_chunk(body);
    Ok(())
}

/// Claims the key: `None` if it is the attempt's, else the outcome of whoever ran.
async fn claim(
    gate: &Gate,
    attempt: Attempt,
    offer: &Offer,
    object: &str,
    key: &Key,
) -> Result<Option<Outcome>, Failure> {
    let held = AtomicBool::new(false);
    let failing = gate.claims.counts().failing.load(Ordering::Relaxed);
    let wait = if failing { CLAIM_WAIT_FAILING } else { CLAIM_WAIT };
    let patience = Duration::from_millis(offer.timeout_ms);
    let claiming = async {
        loop {
            let operation =
                Operation::Claim { key: key.digest.clone(), request: key.request.clone(), attempt };
            let submitted = gate.claims.submit(object, operation);
            let answer = tokio::time::timeout(wait, submitted).await;
            match answer.unwrap_or(Ok(Reply::Applied)) {
                // Only the platform's silence is noted for a claim.
                Ok(Reply::Applied) => return None,
                Ok(Reply::Held) => {
                    held.store(true, Ordering::Relaxed);
                    tokio::time::sleep(HELD_PAUSE).await;
                }
                Ok(answer) => return Some(answer),
                Err(_) => return None,
            }
        }
    };
    let answer = tokio::time::timeout(patience, claiming).await.unwrap_or(None);
    match answer {
        Some(Reply::Granted) => Ok(None),
        Some(Reply::Done(outcome)) => Ok(Some(outcome)),
        Some(Reply::Mismatch) => Err(not_run(Cause::KeyMismatch)),
        Some(Reply::Full) => Err(not_run(Cause::ClaimsFull)),
        _ => {
            // The claim's answer may have been lost after it took effect: it is given back.
            release(gate, object, key, attempt);
            Err(if held.into_inner() { unknown(Cause::KeyInUse) } else { not_run(Cause::Platform) })
        }
    }
}

fn release(gate: &Gate, object: &str, key: &Key, attempt: Attempt) {
    let operation = Operation::Release { key: key.digest.clone(), attempt };
    drop(gate.claims.submit(object, operation));
}

async fn record(gate: &Gate, object: &str, key: &Key, attempt: Attempt, head: &Head, body: &Bytes) {
    let headers = head
        .headers
        .iter()
        .map(|(name, value)| (name.clone(), String::from_utf8_lossy(value).into_owned()));
    let mut outcome =
        Outcome { status: head.status, headers: headers.collect(), body: String::new() };
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= OUTCOME_BYTES => outcome.body = text.to_string(),
        _ => outcome.headers.push(("filberttrail-body".into(), "not kept".into())),
    }
    let operation = Operation::Record { key: key.digest.clone(), attempt, outcome };
    let recorded = gate.claims.submit(object, operation);
    if tokio::time::timeout(RECORD_WAIT, recorded).await.is_err() {
        let name = &gate.settings.name;
        log::warn!("the outcome of {attempt} at {name} is answered before it lasts");
    }
}

fn replay(tape: &Tape, outcome: Outcome) {
    let mut headers: Vec<(String, Bytes)> =
        outcome.headers.into_iter().map(|(name, value)| (name, value.into())).collect();
    headers.push((REPLAYED.to_string(), Bytes::from_static(b"true")));
    tape.put_head(Head { status: outcome.status, headers });
    tape.put_chunk(outcome.body.into());
}

/// Sends the request to the upstream, if the attempt may still be handed over.
async fn hand_over(
    gate: &Gate,
    attempt: Attempt,
    offer: &Offer,
) -> Result<hyper::Response<Incoming>, Failure> {
    let engine = gate.engine();
    let request = match build_request(offer, engine) {
        Ok(request) => request,
        Err(failure) => {
            gate.mark_not_run(attempt);
            return Err(failure);
        }
    };
    if !gate.hand_over(attempt) {
        gate.mark_not_run(attempt);
        return Err(not_run(Cause::Withdrawn));
    }
    let sending = gate.client.send(gate.settings.upstream, request);
    match tokio::time::timeout(gate.settings.head_wait, sending).await {
        Ok(Ok(response)) => match refused_life(&response, engine) {
            Some(engine) => {
                log::info!("{} has turned cold: its life is {engine}", gate.settings.name);
                gate.observe(engine);
                gate.mark_not_run(attempt);
                Err(not_run(Cause::Misdirected))
            }
            None => Ok(response),
        },
        Ok(Err(failure)) if !failure.sent => {
            log::warn!("{} cannot be reached: {failure}", gate.settings.name);
            gate.mark_not_run(attempt);
            Err(not_run(Cause::Unreachable))
        }
        Ok(Err(failure)) => {
            log::warn!("{} broke off: {failure}", gate.settings.name);
            gate.finish(attempt, false);
            Err(unknown(Cause::BrokenOff))
        }
        Err(_) => {
            gate.finish(attempt, false);
            Err(unknown(Cause::TimedOut))
        }
    }
}

/// Tells whether an answer is evidence that the upstream bears its load: an error of its own is not.
fn bears_more(head: &hyper::http::response::Parts) -> bool {
    !head.status.is_server_error()
}

/// Returns the engine's life from its refusal of an attempt that was meant for another one.
fn refused_life(
    response: &hyper::Response<Incoming>,
    meant: Option<Incarnation>,
) -> Option<Incarnation> {
    if response.status() != hyper::StatusCode::PRECONDITION_FAILED {
        return None;
    }
    let engine = response.headers().get(ENGINE_LIFE)?.to_str().ok()?.parse().ok()?;
    // Any other 412 is the engine's answer to what the caller asked.
    (meant? != engine).then_some(engine)
}

fn build_request(
    offer: &Offer,
    engine: Option<Incarnation>,
) -> Result<hyper::Request<Body>, Failure> {
    let mut request = hyper::Request::builder().method(offer.method.as_str()).uri(&offer.path);
    // Only the sidecar says which life is meant.
    let headers = offer.headers.iter().filter(|(name, _)| name != ENGINE_LIFE);
    for (name, value) in headers {
        request = request.header(name, value.as_ref());
    }
    if let Some(engine) = engine {
        request = request.header(ENGINE_LIFE, engine);
    }
    // The entry checks requests; one that cannot be built was made by another release.
    request.body(Body::new(offer.body.clone())).map_err(|_| not_run(Cause::Misdirected))
}

fn head_of(head: &hyper::http::response::Parts) -> Head {
    let kept = head.headers.iter().filter(|(name, _)| !is_hop_header(name.as_str()));
    let headers = kept
        .map(|(name, value)| (name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes())));
    Head { status: head.status.as_u16(), headers: headers.collect() }
}

fn is_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection" | "transfer-encoding" | "keep-alive" | "upgrade" | "trailer" | "date"
    )
}

async fn copy(gate: &Gate, mut body: Incoming, tape: &Tape) -> Result<(), Failure> {
    let mut last = gate.now();
    loop {
        let frame = match tokio::time::timeout(gate.settings.pause_wait, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(()),
            Ok(Some(Err(_))) => return Err(unknown(Cause::BrokenOff)),
            Err(_) => return Err(unknown(Cause::TimedOut)),
        };
        let Ok(chunk) = frame.into_data() else { continue };
        let now = gate.now();
        gate.token(now.saturating_sub(last));
        last = now;
        if !tape.put_chunk(chunk) {
            return Err(unknown(Cause::CallerSlow));
        }
    }
}
