//! One attempt to send a request to an upstream, up to the head of the response.

use crate::Hub;
use crate::caller_request::CallerRequest;
use crate::connection::{self, Connection};
use crate::permit::Permit;
use crate::signals::Signals;
use bytes::Bytes;
use filberttrail_fleet::event::SequenceNumber;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::error::Error;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// A response whose body has not been read yet.
pub struct UpstreamResponse {
    /// Head of the response.
    pub head: Parts,
    /// Unread body.
    pub body: Incoming,
    /// The connection that the body is read from.
    pub connection: Connection,
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// Nothing was sent, for the given cause.
    Unsent(String),
    /// Nothing was sent, as no process listens at the upstream's address; the cause is given.
    Refused(String),
    /// The upstream states that it did not run the request.
    NotRun {
        /// Whether another rank of the upstream's group caused the refusal.
        by_group: bool,
        /// Whether another upstream responded at the address.
        misdirected: bool,
    },
    /// The request may have run, and its connection ended before the response; the cause is given.
    Unknown(String),
    /// The request may have run, and what the upstream sent is no usable response; the cause is given.
    Unusable(String),
    /// The request may have run, and no response arrived in time.
    Silent,
}

impl Failed {
    /// Tells why no response, or only a part of one, could be read from a connection.
    pub fn from_connection(error: &hyper::Error) -> Self {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let over_limit = source.is_some_and(|source| source.kind() == ErrorKind::InvalidData);
        match error.is_parse() || error.is_parse_too_large() || over_limit {
            true => Self::Unusable(error.to_string()),
            false => Self::Unknown(error.to_string()),
        }
    }
}

/// Sends a request to the upstream of a permit. Waits for the head of the response until `timeout`
/// or the request's deadline.
pub async fn send(
    hub: &Hub,
    permit: &Permit,
    caller_request: &CallerRequest,
    after_event: Option<SequenceNumber>,
    timeout: Duration,
) -> Result<UpstreamResponse, Failed> {
    let time_left = caller_request.deadline.saturating_sub(hub.now());
    if time_left.is_zero() {
        return Err(Failed::Unsent("no time is left".to_string()));
    }
    let request = build_request(hub, permit, caller_request, after_event, time_left);
    let sent_at = hub.now();
    let exchange = exchange(hub, permit, request, time_left);
    let response = match tokio::time::timeout(timeout.min(time_left), exchange).await {
        Ok(response) => response?,
        Err(_) => return Err(Failed::Silent),
    };
    let Parts { status, headers, .. } = &response.head;
    let names = &hub.interface.headers;
    let sender = headers.get(&names.responding_upstream);
    // Another upstream may respond at the address. What it says is not about this one.
    if sender.is_none_or(|sender| sender.as_bytes() == permit.id.as_bytes()) {
        hub.record_signals(permit, sent_at, Signals::read(*status, headers, names));
    }
    let reused = response.connection.used;
    check_response(hub, caller_request, &permit.id, reused, &response.head).map(|()| response)
}

async fn exchange(
    hub: &Hub,
    permit: &Permit,
    request: Request<Full<Bytes>>,
    time_left: Duration,
) -> Result<UpstreamResponse, Failed> {
    let mut request = request;
    // A pooled connection may turn out to be closed before anything was sent on it.
    while let Some(mut connection) = hub.pool.take(permit.address) {
        connection.allowance.set(connection::HEAD_ALLOWANCE);
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok(into_upstream_response(response, connection)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(Failed::from_connection(&error.into_error())),
            },
        }
    }
    let mut connection = connection::connect(permit.address, time_left).await.map_err(|error| {
        match error.kind() {
            ErrorKind::ConnectionRefused => Failed::Refused(error.to_string()),
            _ => Failed::Unsent(error.to_string()),
        }
    })?;
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(into_upstream_response(response, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(Failed::Unsent(error.into_error().to_string())),
            None => Err(Failed::from_connection(&error.into_error())),
        },
    }
}

fn into_upstream_response(
    response: hyper::Response<Incoming>,
    connection: Connection,
) -> UpstreamResponse {
    // The sizes of bodies are limited where they are read.
    connection.allowance.set(u64::MAX);
    let (head, body) = response.into_parts();
    UpstreamResponse { head, body, connection }
}

fn build_request(
    hub: &Hub,
    permit: &Permit,
    caller_request: &CallerRequest,
    after_event: Option<SequenceNumber>,
    time_left: Duration,
) -> Request<Full<Bytes>> {
    let names = &hub.interface.headers;
    let mut request = Request::new(Full::new(caller_request.body.clone()));
    *request.method_mut() = caller_request.method.clone();
    if let Ok(target) = caller_request.path_and_query.parse() {
        *request.uri_mut() = target;
    }
    let mut headers = caller_request.headers.clone();
    headers.insert(names.left_ms.clone(), HeaderValue::from(time_left.as_millis() as u64));
    let values = [(&names.instance, Some(&permit.id)), (&names.team, caller_request.team.as_ref())];
    for (name, text) in values {
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
            headers.insert(name.clone(), value);
        }
    }
    if let Some(last) = after_event {
        headers.insert(names.after_event.clone(), HeaderValue::from(last));
    }
    *request.headers_mut() = headers;
    request
}

/// Checks that a response belongs to the request, is signed, and may be returned to the caller.
/// `reused` tells whether another response was received on the connection before.
fn check_response(
    hub: &Hub,
    caller_request: &CallerRequest,
    upstream: &str,
    reused: bool,
    head: &Parts,
) -> Result<(), Failed> {
    let names = &hub.interface.headers;
    let id = head.headers.get(&names.request);
    if id.is_some_and(|id| id.as_bytes() != caller_request.id.as_bytes()) {
        return Err(Failed::Unusable("the answer belongs to another request".to_string()));
    }
    if id.is_none() && reused {
        // It may be a late second copy of the response to the request before.
        return Err(Failed::Unusable("the answer names no request".to_string()));
    }
    let not_run = head.headers.contains_key(&names.not_run);
    if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        let by_group = head.headers.contains_key(&names.at_fault);
        let responding_upstream = head.headers.get(&names.responding_upstream);
        let other_upstream =
            responding_upstream.is_some_and(|id| id.as_bytes() != upstream.as_bytes());
        let misdirected =
            head.status == StatusCode::MISDIRECTED_REQUEST && other_upstream && !by_group;
        return Err(Failed::NotRun { by_group, misdirected });
    }
    if !head.headers.contains_key(&names.signature) || id.is_none() {
        return Err(Failed::Unusable(format!("status {} without a signature", head.status)));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failed::Unusable("the answer is encoded".to_string()));
    }
    let not_run_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if not_run_statuses.contains(&head.status) {
        // This status implies that the request was not run, but the response lacks the header that
        // proves it.
        return Err(Failed::Unusable(format!("status {} without proof", head.status)));
    }
    Ok(())
}

/// Returns the idle timeout that the upstream announces, as `Some(None)` if it announces none, or
/// `None` if it closes the connection.
pub fn parse_idle_timeout(headers: &HeaderMap) -> Option<Option<Duration>> {
    let closes = headers.get(CONNECTION).is_some_and(|value| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    });
    if closes {
        return None;
    }
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let parts = text.split(',').map(str::trim);
        parts.filter_map(|part| part.strip_prefix("timeout=")).find_map(|part| part.parse().ok())
    });
    Some(seconds.map(Duration::from_secs))
}
