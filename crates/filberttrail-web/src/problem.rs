//! Problem documents (RFC 9457), with whether the request was run and when to come back.

use crate::{Body, Response};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;
use std::time::Duration;

/// Why a request got no ordinary answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// A short name of the kind of problem.
    pub title: String,
    /// What happened, and what to do about it.
    pub detail: String,
    /// `no` if it was proved not run, else `unknown`.
    pub ran: &'static str,
    /// The id to ask operators about.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// When to come back, in whole seconds.
    #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Builds a problem of a request that was not run.
    pub fn new(status: StatusCode, title: &str, detail: impl ToString) -> Self {
        Self {
            status: status.as_u16(),
            title: title.to_string(),
            detail: detail.to_string(),
            ran: "no",
            request: String::new(),
            retry_after: None,
        }
    }

    /// Says that it is not known whether the request was run.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.ran = "unknown";
        self
    }

    /// Says when to come back, rounded up to whole seconds.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after.as_millis().div_ceil(1_000).max(1) as u64);
        self
    }

    /// Names the request.
    pub fn with_request(mut self, request: impl ToString) -> Self {
        self.request = request.to_string();
        self
    }

    /// Turns the problem into an answer.
    pub fn into_response(self) -> Response {
        let text = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(Body::new(text));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let kind = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        if let Some(seconds) = self.retry_after {
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}
