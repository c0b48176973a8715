//! Responses that the gateway generates itself, as problem documents (RFC 9457).

use crate::Hub;
use crate::slot_request::Refusal;
use filberttrail_journal::journal::Priority;
use filberttrail_web::{Problem, Response};
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde_json::json;
use std::time::Duration;

/// Responds that a request was not run, with a `Retry-After` time.
pub fn refuse(hub: &Hub, request_id: &str, arrived: Duration, refusal: &Refusal) -> Response {
    let detail =
        format!("{}; come back in {:.1} s", refusal.cause, refusal.retry_after.as_secs_f64());
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, refusal.title(), detail);
    let mut response = respond(hub, request_id, arrived, problem);
    let retry_after = format!("{:.2}", refusal.retry_after.as_secs_f64());
    if let Ok(retry_after) = HeaderValue::from_str(&retry_after) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Responds that it is unknown whether a request was run. `timed_out` selects the status 504
/// instead of 502.
pub fn report_unknown_outcome(
    hub: &Hub,
    request_id: &str,
    arrived: Duration,
    timed_out: bool,
    detail: &str,
) -> Response {
    let (status, title) = match timed_out {
        true => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        false => (StatusCode::BAD_GATEWAY, "no whole answer"),
    };
    respond(hub, request_id, arrived, Problem::new(status, title, detail).with_unknown_outcome())
}

/// Records a problem in the metrics and the journal, and returns the response for it.
pub fn respond(hub: &Hub, request_id: &str, arrived: Duration, problem: Problem) -> Response {
    let took = hub.now().saturating_sub(arrived);
    hub.metrics.record_response(&problem.title, took);
    let fields = json!({
        "request": request_id, "status": problem.status, "cause": problem.title,
        "detail": problem.detail, "ran": problem.ran, "took_ms": took.as_millis() as u64,
    });
    hub.journal.record(Priority::Important, "answer", fields);
    let mut response = problem.with_request(request_id).into_response();
    if let Ok(id) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(hub.interface.headers.request.clone(), id);
    }
    response
}
