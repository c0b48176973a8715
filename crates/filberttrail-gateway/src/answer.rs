//! Answers of the gateway's own.

use crate::Hub;
use crate::want::Refusal;
use filberttrail_journal::journal::Priority;
use filberttrail_web::{Problem, Response};
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde_json::json;
use std::time::Duration;

/// Answers that a request was not run, and when to come back.
pub fn refuse(hub: &Hub, id: &str, arrived: Duration, refusal: &Refusal) -> Response {
    let detail = format!("{}; come back in {:.1} s", refusal.cause, refusal.after.as_secs_f64());
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no room", detail);
    let mut response = finish(hub, id, arrived, problem);
    let after = format!("{:.2}", refusal.after.as_secs_f64());
    if let Ok(after) = HeaderValue::from_str(&after) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

/// Answers that it is not known whether a request was run.
pub fn fail(hub: &Hub, id: &str, arrived: Duration, timed_out: bool, detail: &str) -> Response {
    let (status, title) = match timed_out {
        true => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        false => (StatusCode::BAD_GATEWAY, "no whole answer"),
    };
    finish(hub, id, arrived, Problem::new(status, title, detail).with_unknown_outcome())
}

/// Notes a problem and answers with it.
pub fn finish(hub: &Hub, id: &str, arrived: Duration, problem: Problem) -> Response {
    let took = hub.now().saturating_sub(arrived);
    hub.metrics.note_answer(&problem.title, took);
    let fields = json!({
        "request": id, "status": problem.status, "cause": problem.title,
        "detail": problem.detail, "ran": problem.ran, "took_ms": took.as_millis() as u64,
    });
    hub.journal.record(Priority::Important, "answer", fields);
    let mut response = problem.with_request(id).into_response();
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(hub.interface.headers.request.clone(), id);
    }
    response
}
