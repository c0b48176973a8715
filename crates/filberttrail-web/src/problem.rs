//! Problem documents (RFC 9457), extended by whether the request was run and when to retry.

use crate::{Body, Response};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;
use std::time::Duration;

/// The reason for an error response, serialized as `application/problem+json`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// A short, fixed name of the kind of problem.
    pub title: String,
    /// What happened, and what to do about it.
    pub detail: String,
    /// `no` if the request was certainly not run, else `unknown`.
    pub ran: &'static str,
    /// The request id, which operators use to look the request up.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The delay before a retry, in seconds; also sent as the `Retry-After` header.
    #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates a problem of a request that was not run.
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

    /// Marks the request's outcome as unknown: it may have been run.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.ran = "unknown";
        self
    }

    /// Sets the delay before a retry, rounded up to whole seconds and at least 1.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after.as_millis().div_ceil(1_000).max(1) as u64);
        self
    }

    /// Sets the request id.
    pub fn with_request(mut self, request: impl ToString) -> Self {
        self.request = request.to_string();
        self
    }

    /// Converts the problem into a response with its status, body and headers.
    pub fn into_response(self) -> Response {
        let text = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(Body::new(text));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let content_type = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        if let Some(seconds) = self.retry_after {
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}
