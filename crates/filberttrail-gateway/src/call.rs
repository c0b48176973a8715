//! A caller's request from its arrival to its answer.

use crate::ask::Ask;
use crate::exchange::{self, Answered, Failed};
use crate::outcome::Outcome;
use crate::permit::Permit;
use crate::relay::Relay;
use crate::want::{Refusal, Want};
use crate::{Hub, answer};
use filberttrail_fleet::admission;
use filberttrail_fleet::route::Kind;
use filberttrail_journal::journal::Priority;
use filberttrail_web::{Body, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// How long a stream may be silent before its first event. Upstreams of a stalled group fail their
/// work after 1.5 s, callers leave after 2 s.
pub const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Targets after which an idempotent request is sent elsewhere; healthy upstreams need under one.
const SILENT_TARGETS: u32 = 3;
/// What is left to an upstream's answer on its way back, so that the caller's time-out is kept.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// Bytes of an answer that is not a stream.
const ANSWER_LIMIT: usize = 16 << 20;
/// When to come back after an upstream's refusal.
const REFUSED_RETRY: Duration = Duration::from_millis(700);
/// Sends that came to nothing before any byte was sent, at most.
const UNSENT_LIMIT: u32 = 3;

/// What was tried for a request.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    /// Upstreams that are not to be asked again.
    pub tried: Vec<String>,
    /// Sends that came to nothing.
    pub sent: u32,
    /// Upstreams that it could not be sent to.
    pub unsent: u32,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    /// Whether the last one was silent.
    pub silent: bool,
    /// What went wrong last.
    pub fault: String,
}

/// Answers a request.
pub async fn handle(hub: Arc<Hub>, request: Request) -> Response {
    let arrived = hub.now();
    let mut response = match Ask::read(&hub, request).await {
        Err((id, problem)) => answer::finish(&hub, &id, arrived, problem),
        Ok(ask) => {
            let ask = Arc::new(ask);
            let response = serve(&hub, ask.clone()).await;
            // A stream ends later; see `relay`.
            if !matches!(response.body(), Body::Stream(_)) {
                ask.open.end();
            }
            response
        }
    };
    if hub.sends_away() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(hub: &Arc<Hub>, ask: Arc<Ask>) -> Response {
    let left = ask.deadline.saturating_sub(hub.now()).saturating_sub(ANSWER_MARGIN);
    let mut tries = Tries::default();
    let answer = tokio::time::timeout(left, attempt_all(hub, &ask, &mut tries)).await;
    match answer {
        Ok(response) => response,
        Err(_) if tries.may_have_run || tries.sent > 0 => {
            answer::fail(hub, &ask.id, ask.arrived, true, "the time for the answer is over")
        }
        Err(_) => {
            let refusal = Refusal { cause: "no slot in time", after: REFUSED_RETRY };
            answer::refuse(hub, &ask.id, ask.arrived, &refusal)
        }
    }
}

async fn attempt_all(hub: &Arc<Hub>, ask: &Arc<Ask>, tries: &mut Tries) -> Response {
    loop {
        let permit = match acquire(hub, ask, tries).await {
            Ok(permit) => permit,
            Err(refusal) => return give_up(hub, ask, tries, refusal),
        };
        // From here to the answer's head the request counts as sent: this future may be dropped.
        let before = std::mem::replace(&mut tries.may_have_run, true);
        let failed = match exchange::send(hub, &permit, ask, ask.after_event, patience(ask)).await {
            Ok(answered) => match finish(hub, ask, tries, permit, answered).await {
                Ok(response) => return response,
                Err((failed, id)) => {
                    note_failure(hub, ask, tries, &failed, &id);
                    failed
                }
            },
            Err(failed) => {
                note_failure(hub, ask, tries, &failed, &permit.id);
                failed
            }
        };
        tries.may_have_run = before || matches!(failed, Failed::Unknown(_) | Failed::Silent);
        if !may_retry(hub, ask, tries, &failed) {
            let after = match failed {
                Failed::NotRun { by_group: true, .. } => {
                    admission::retry_after_outage(fastrand::f64())
                }
                _ => REFUSED_RETRY.mul_f64(1.0 + fastrand::f64()),
            };
            return give_up(hub, ask, tries, Refusal { cause: "upstreams refused", after });
        }
    }
}

/// Gets a slot for a request, or for the rest of it.
pub async fn acquire(hub: &Arc<Hub>, ask: &Ask, tries: &Tries) -> Result<Permit, Refusal> {
    let began = hub.now();
    let want = Want {
        service: ask.service.clone(),
        ask: admission::Ask {
            priority: ask.priority,
            returned: ask.returned,
            target: ask.route.target,
            left: ask.deadline.saturating_sub(began),
            tried: tries.tried.clone(),
        },
    };
    let permit = hub.acquire(want).await;
    hub.metrics.note_wait(hub.now().saturating_sub(began));
    permit
}

fn patience(ask: &Ask) -> Duration {
    match ask.route.kind {
        Kind::Stream if ask.route.repeatable() => FIRST_EVENT_TIMEOUT,
        Kind::Safe if ask.route.attempts > 1 => ask.route.target * SILENT_TARGETS,
        _ => Duration::MAX,
    }
}

/// Notes a failed send, and what it says of the upstream.
pub fn note_failure(hub: &Hub, ask: &Ask, tries: &mut Tries, failed: &Failed, id: &str) {
    tries.tried.push(id.to_string());
    tries.silent = matches!(failed, Failed::Silent);
    tries.fault = format!("{failed:?}");
    let (label, outcome) = match failed {
        Failed::Unsent(_) => ("unsent", Outcome::Unreachable),
        Failed::NotRun { .. } => ("not_run", Outcome::Full),
        Failed::Unknown(_) => ("failed", Outcome::Failure),
        Failed::Silent => ("silent", Outcome::Failure),
    };
    match failed {
        Failed::Unsent(_) => tries.unsent += 1,
        _ => tries.sent += 1,
    }
    hub.metrics.note_attempt(label);
    match failed {
        Failed::NotRun { by_group: true, .. } => hub.pause_group(id),
        Failed::NotRun { misdirected: true, .. } => hub.note_outcome(id, Outcome::Replaced),
        _ => hub.note_outcome(id, outcome),
    }
    let fields = json!({
        "request": ask.id, "upstream": id, "service": ask.service, "outcome": label,
        "fault": tries.fault, "sent": tries.sent,
    });
    hub.journal.record(Priority::Important, "attempt", fields);
}

/// Decides whether a request is sent once more.
pub fn may_retry(hub: &Hub, ask: &Ask, tries: &Tries, failed: &Failed) -> bool {
    if matches!(failed, Failed::Unsent(_)) {
        return tries.unsent <= UNSENT_LIMIT;
    }
    let allowed = match failed {
        Failed::NotRun { .. } => true,
        _ => ask.route.repeatable(),
    };
    allowed && tries.sent < ask.route.attempts && hub.take_retry(&ask.service)
}

fn give_up(hub: &Hub, ask: &Ask, tries: &Tries, refusal: Refusal) -> Response {
    if tries.may_have_run {
        return answer::fail(hub, &ask.id, ask.arrived, tries.silent, &tries.fault);
    }
    answer::refuse(hub, &ask.id, ask.arrived, &refusal)
}

/// Reads what the caller needs to see before its answer begins.
async fn finish(
    hub: &Arc<Hub>,
    ask: &Arc<Ask>,
    tries: &Tries,
    permit: Permit,
    answered: Answered,
) -> Result<Response, (Failed, String)> {
    if ask.route.kind == Kind::Stream && answered.head.status.is_success() {
        let id = permit.id.clone();
        let head = reply_head(hub, &answered.head, true);
        let relay = Relay::start(hub.clone(), ask.clone(), tries.clone(), permit, answered).await;
        let relay = relay.map_err(|failed| (failed, id))?;
        note_answer(hub, ask, head.status.as_u16(), &relay.upstream());
        return Ok(Response::from_parts(head, Body::Stream(relay.into_pieces())));
    }
    let Answered { head, body, connection } = answered;
    let collected = Limited::new(body, ANSWER_LIMIT).collect().await;
    let body = match collected {
        Ok(body) => body.to_bytes(),
        Err(fault) => return Err((Failed::Unknown(fault.to_string()), permit.id.clone())),
    };
    if let Some(keep) = exchange::keep_time(&head.headers) {
        hub.pool.give(permit.address, connection, keep);
    }
    let failed = head.status.is_server_error();
    // The last upstream's failure is its answer, and is delivered as it is.
    if failed && ask.route.kind == Kind::Safe && tries.sent + 1 < ask.route.attempts {
        let fault = format!("status {}", head.status);
        return Err((Failed::Unknown(fault), permit.id.clone()));
    }
    hub.note_outcome(&permit.id, if failed { Outcome::Failure } else { Outcome::Success });
    hub.metrics.note_attempt("answered");
    note_answer(hub, ask, head.status.as_u16(), &permit.id);
    Ok(Response::from_parts(reply_head(hub, &head, false), Body::new(body)))
}

/// Notes an answer that an upstream gave.
fn note_answer(hub: &Hub, ask: &Ask, status: u16, upstream: &str) {
    let took = hub.now().saturating_sub(ask.arrived);
    hub.metrics.note_answer("answered", took);
    let fields = json!({
        "request": ask.id, "status": status, "upstream": upstream, "service": ask.service,
        "returned": ask.returned, "took_ms": took.as_millis() as u64,
    });
    hub.journal.record(Priority::Ordinary, "answer", fields);
}

/// Returns the upstream's head without what concerns its own connection.
fn reply_head(hub: &Hub, head: &Parts, streamed: bool) -> Parts {
    let (mut reply, ()) = hyper::Response::new(()).into_parts();
    reply.status = head.status;
    reply.headers = head.headers.clone();
    let hop = [CONNECTION, TRANSFER_ENCODING, HeaderName::from_static("keep-alive")];
    for name in hop {
        reply.headers.remove(name);
    }
    reply.headers.remove(&hub.interface.headers.load);
    if streamed {
        reply.headers.remove(CONTENT_LENGTH);
    }
    reply
}
