//! Handles a caller's request from its arrival to the response: acquires a slot, sends the request,
//! and retries it where its route allows that.

use crate::blame::format_subject;
use crate::caller_request::CallerRequest;
use crate::exchange::{self, Failed, UpstreamResponse};
use crate::failure::Failure;
use crate::memory::read_response;
use crate::outcome::Outcome;
use crate::permit::Permit;
use crate::relay::{Relay, Source};
use crate::slot_request::{Refusal, SlotRequest};
use crate::trial::Trial;
use crate::{Hub, problem_response};
use filberttrail_fleet::route::Kind;
use filberttrail_fleet::{admission, upstream};
use filberttrail_journal::journal::Priority;
use filberttrail_web::{Body, Request, Response};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the first event of a stream, counted from the response head. A stream that can be
/// resumed has the same timeout for the response head.
///
/// It is shorter than the 1.5 s after which upstreams of a stalled group fail their requests, so
/// that another upstream can respond before callers give up after 2 s.
pub const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout for the response head of an idempotent request at one upstream, in multiples of its
/// route's target latency. Healthy upstreams respond within one target latency. The timeout applies
/// to each attempt of a route that allows more than one.
const RESPONSE_TIMEOUT_TARGETS: u32 = 3;
/// Time reserved for the response on its way back, so that it arrives before the caller's timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// `Retry-After` time of a request that got no slot in time. A request that is refused after a
/// failed attempt gets a random time from one to two times this, except after a refusal that
/// another rank of the group caused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Maximum number of retries after attempts that failed before any byte was sent. These retries do
/// not count against the retry budget.
const UNSENT_LIMIT: u32 = 3;

/// The attempts to send one request so far.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    /// Ids of the upstreams that the request must not be sent to again.
    pub tried: Vec<String>,
    /// Number of failed attempts in which the request may have reached the upstream, including
    /// those that the upstream states it did not run.
    pub failed_sent: u32,
    /// Number of failed attempts in which nothing was sent.
    pub failed_unsent: u32,
    /// Whether an upstream may have run the request. Also true while the outcome of an attempt is
    /// not known yet.
    pub may_have_run: bool,
    /// Whether the upstream of one of the attempts crashed under the request.
    pub crashed: bool,
    /// Whether the last attempt timed out without a response.
    pub silent: bool,
    /// The failure of the last attempt.
    pub last_error: String,
}

/// Responds to a caller's request.
pub async fn handle(hub: Arc<Hub>, request: Request) -> Response {
    let arrived = hub.now();
    hub.wait_until_fresh().await;
    let mut response = match CallerRequest::read(&hub, request).await {
        Err((id, problem)) => problem_response::respond(&hub, &id, arrived, problem),
        Ok(caller_request) => {
            let caller_request = Arc::new(caller_request);
            let response = serve(&hub, caller_request.clone()).await;
            // A streamed response is still open here. `Relay` marks the request as ended when the
            // stream ends.
            if !matches!(response.body(), Body::Stream(_)) {
                caller_request.open_request.mark_ended();
            }
            response
        }
    };
    if hub.closes_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(hub: &Arc<Hub>, caller_request: Arc<CallerRequest>) -> Response {
    if let Err(refusal) = Trial::check(hub, &caller_request, false) {
        return problem_response::refuse(hub, &caller_request.id, caller_request.arrived, &refusal);
    }
    let time_left =
        caller_request.deadline.saturating_sub(hub.now()).saturating_sub(RESPONSE_MARGIN);
    let mut attempts = Attempts::default();
    let response =
        tokio::time::timeout(time_left, try_upstreams(hub, &caller_request, &mut attempts)).await;
    match response {
        Ok(response) => response,
        // `failed_sent` includes attempts that an upstream states it did not run, so the outcome is
        // reported as unknown even if no attempt can have run.
        Err(_) if attempts.may_have_run || attempts.failed_sent > 0 => {
            // `true` selects the status for a timeout.
            problem_response::report_unknown_outcome(
                hub,
                &caller_request.id,
                caller_request.arrived,
                true,
                "the time for the answer is over",
            )
        }
        Err(_) => {
            let refusal = Refusal { cause: "no slot in time", retry_after: REFUSED_RETRY_AFTER };
            problem_response::refuse(hub, &caller_request.id, caller_request.arrived, &refusal)
        }
    }
}

/// Sends a request to one upstream after another until one responds or no retry is allowed.
async fn try_upstreams(
    hub: &Arc<Hub>,
    caller_request: &Arc<CallerRequest>,
    attempts: &mut Attempts,
) -> Response {
    loop {
        let (permit, trial) = match acquire_trial(hub, caller_request, attempts).await {
            Ok(started) => started,
            Err(refusal) => return give_up(hub, caller_request, attempts, refusal),
        };
        let id = permit.id.clone();
        // A timeout can drop this future while the attempt is under way, so the request counts as
        // possibly run until the outcome of the attempt is known.
        let may_have_run_before = std::mem::replace(&mut attempts.may_have_run, true);
        let sent = exchange::send(
            hub,
            &permit,
            caller_request,
            caller_request.after_event,
            response_timeout(caller_request),
        );
        let received = match sent.await {
            Ok(response) => {
                receive_response(hub, caller_request, attempts, permit, trial, response).await
            }
            Err(failed) => {
                drop(permit);
                Err(Failure { failed, trial: Some(trial) })
            }
        };
        let Failure { failed, trial } = match received {
            Ok(response) => return response,
            Err(failure) => failure,
        };
        record_failure(hub, caller_request, attempts, &failed, &id);
        if let Some(trial) = trial {
            attempts.crashed |= trial.fail(&failed).await;
        }
        attempts.may_have_run = may_have_run_before
            || matches!(failed, Failed::Unknown(_) | Failed::Unusable(_) | Failed::Silent);
        if !try_take_retry(hub, caller_request, attempts, &failed) {
            let retry_after = match failed {
                Failed::NotRun { by_group: true, .. } => {
                    admission::retry_after_outage(fastrand::f64())
                }
                _ => REFUSED_RETRY_AFTER.mul_f64(1.0 + fastrand::f64()),
            };
            return give_up(
                hub,
                caller_request,
                attempts,
                Refusal { cause: "upstreams refused", retry_after },
            );
        }
    }
}

/// Acquires a slot for a request, or for the remainder of its stream, and begins its trial.
pub async fn acquire_trial(
    hub: &Arc<Hub>,
    caller_request: &Arc<CallerRequest>,
    attempts: &Attempts,
) -> Result<(Permit, Trial), Refusal> {
    let avoided = Trial::check(hub, caller_request, attempts.crashed)?;
    let permit = acquire(hub, caller_request, attempts, avoided).await?;
    // What is known of the request may have changed while it waited.
    let trial = Trial::begin(hub, caller_request, &permit, attempts.crashed)?;
    Ok((permit, trial))
}

/// Acquires a slot of an upstream that is none of `avoided` and was not tried before.
async fn acquire(
    hub: &Arc<Hub>,
    caller_request: &CallerRequest,
    attempts: &Attempts,
    avoided: Vec<upstream::Id>,
) -> Result<Permit, Refusal> {
    let started_at = hub.now();
    let slot_request = SlotRequest {
        service: caller_request.service.clone(),
        admission: admission::Request {
            priority: caller_request.priority,
            is_caller_retry: caller_request.is_caller_retry,
            target: caller_request.route.target,
            time_left: caller_request.deadline.saturating_sub(started_at),
            tried: attempts.tried.iter().cloned().chain(avoided).collect(),
        },
    };
    let permit = hub.acquire(slot_request).await;
    hub.metrics.record_wait(hub.now().saturating_sub(started_at));
    permit
}

/// Returns the timeout for the response head at one upstream. Other requests than these may wait
/// until their deadline.
fn response_timeout(caller_request: &CallerRequest) -> Duration {
    match caller_request.route.kind {
        Kind::Stream if caller_request.route.is_repeatable() => FIRST_EVENT_TIMEOUT,
        Kind::Safe if caller_request.route.attempts > 1 => {
            caller_request.route.target * RESPONSE_TIMEOUT_TARGETS
        }
        _ => Duration::MAX,
    }
}

/// Records a failed attempt and updates the health of its upstream accordingly.
pub fn record_failure(
    hub: &Hub,
    caller_request: &CallerRequest,
    attempts: &mut Attempts,
    failed: &Failed,
    upstream_id: &str,
) {
    attempts.tried.push(upstream_id.to_string());
    attempts.silent = matches!(failed, Failed::Silent);
    attempts.last_error = format!("{failed:?}");
    // The label for metrics and the journal, and the outcome for the upstream's health.
    let (label, outcome) = match failed {
        Failed::Unsent(_) | Failed::Refused(_) => ("unsent", Outcome::Unreachable),
        Failed::NotRun { .. } => ("not_run", Outcome::Full),
        Failed::Unknown(_) | Failed::Unusable(_) => ("failed", Outcome::Failure),
        Failed::Silent => ("silent", Outcome::Failure),
    };
    match failed {
        Failed::Unsent(_) | Failed::Refused(_) => attempts.failed_unsent += 1,
        _ => attempts.failed_sent += 1,
    }
    hub.metrics.record_attempt(label);
    // A refusal that another rank caused affects the whole group. A misdirected request shows that
    // another upstream now has the address.
    match failed {
        Failed::NotRun { by_group: true, .. } => hub.pause_group(upstream_id),
        Failed::NotRun { misdirected: true, .. } => {
            hub.record_outcome(upstream_id, Outcome::Replaced)
        }
        _ => hub.record_outcome(upstream_id, outcome),
    }
    let fields = json!({
        "request": caller_request.id, "upstream": upstream_id, "service": caller_request.service,
        "outcome": label, "fault": attempts.last_error, "sent": attempts.failed_sent,
        "parts": caller_request.shared_parts, "digest": format_subject(caller_request.digest),
    });
    hub.journal.record(Priority::Important, "attempt", fields);
}

/// Returns whether a request may be sent again, and if so takes a retry from the service's budget.
/// A retry after an attempt in which nothing was sent takes none; `UNSENT_LIMIT` bounds these.
pub fn try_take_retry(
    hub: &Hub,
    caller_request: &CallerRequest,
    attempts: &Attempts,
    failed: &Failed,
) -> bool {
    if matches!(failed, Failed::Unsent(_) | Failed::Refused(_)) {
        return attempts.failed_unsent <= UNSENT_LIMIT;
    }
    let allowed = match failed {
        Failed::NotRun { .. } => true,
        _ => caller_request.route.is_repeatable(),
    };
    allowed
        && attempts.failed_sent < caller_request.route.attempts
        && hub.take_retry(&caller_request.service)
}

fn give_up(
    hub: &Hub,
    caller_request: &CallerRequest,
    attempts: &Attempts,
    refusal: Refusal,
) -> Response {
    if attempts.may_have_run {
        return problem_response::report_unknown_outcome(
            hub,
            &caller_request.id,
            caller_request.arrived,
            attempts.silent,
            &attempts.last_error,
        );
    }
    problem_response::refuse(hub, &caller_request.id, caller_request.arrived, &refusal)
}

/// Reads the response up to the point at which the response to the caller can start: the first
/// event of a stream, or otherwise the complete body.
async fn receive_response(
    hub: &Arc<Hub>,
    caller_request: &Arc<CallerRequest>,
    attempts: &Attempts,
    permit: Permit,
    mut trial: Trial,
    response: UpstreamResponse,
) -> Result<Response, Failure> {
    if caller_request.route.kind == Kind::Stream && response.head.status.is_success() {
        let head = response_head(hub, &response.head, true);
        let source = Source::new(permit, trial, response);
        let relay =
            Relay::start(hub.clone(), caller_request.clone(), attempts.clone(), source).await?;
        record_response(hub, caller_request, head.status.as_u16(), &relay.upstream());
        return Ok(Response::from_parts(head, Body::Stream(relay.into_chunks())));
    }
    trial.note_response();
    let UpstreamResponse { head, body, connection } = response;
    let team = caller_request.team.as_deref().unwrap_or_default();
    let body = match read_response(&hub.memory, body, team).await {
        Ok(body) => body,
        Err(failed) => return Err(Failure { failed, trial: Some(trial) }),
    };
    // `None` means that the upstream closes the connection, and `Some(None)` that it announces no
    // idle timeout.
    if let Some(idle_timeout) = exchange::parse_idle_timeout(&head.headers) {
        hub.pool.put_back(permit.address, connection, idle_timeout);
    }
    let failed = head.status.is_server_error();
    // The error response of the last permitted attempt is returned to the caller unchanged.
    if failed
        && caller_request.route.kind == Kind::Safe
        && attempts.failed_sent + 1 < caller_request.route.attempts
    {
        let failed = Failed::Unusable(format!("status {}", head.status));
        trial.cancel();
        return Err(Failure { failed, trial: None });
    }
    // Some upstreams report a failure without running the request, so that clears nothing.
    match failed {
        true => trial.cancel(),
        false => trial.pass(),
    }
    hub.record_outcome(&permit.id, if failed { Outcome::Failure } else { Outcome::Success });
    hub.metrics.record_attempt("answered");
    record_response(hub, caller_request, head.status.as_u16(), &permit.id);
    Ok(Response::from_parts(response_head(hub, &head, false), body))
}

/// Records the response of an upstream in the metrics and the journal.
fn record_response(hub: &Hub, caller_request: &CallerRequest, status: u16, upstream: &str) {
    let took = hub.now().saturating_sub(caller_request.arrived);
    hub.metrics.record_response("answered", took);
    let fields = json!({
        "request": caller_request.id, "status": status, "upstream": upstream,
        "service": caller_request.service, "returned": caller_request.is_caller_retry,
        "took_ms": took.as_millis() as u64, "digest": format_subject(caller_request.digest),
    });
    hub.journal.record(Priority::Ordinary, "answer", fields);
}

/// Returns the head of an upstream's response without `Connection`, `Transfer-Encoding`,
/// `Keep-Alive` and what the upstream tells about itself, and for a stream without `Content-Length`. Other headers are
/// forwarded.
fn response_head(hub: &Hub, head: &Parts, streamed: bool) -> Parts {
    let (mut response, ()) = hyper::Response::new(()).into_parts();
    response.status = head.status;
    response.headers = head.headers.clone();
    let hop_headers = [CONNECTION, TRANSFER_ENCODING, HeaderName::from_static("keep-alive")];
    for name in hop_headers {
        response.headers.remove(name);
    }
    response.headers.remove(&hub.interface.headers.load);
    response.headers.remove(&hub.interface.headers.leaving);
    if streamed {
        response.headers.remove(CONTENT_LENGTH);
    }
    response
}
