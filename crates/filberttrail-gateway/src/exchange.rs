//! One send of a request to one upstream, up to the head of its answer.

use crate::Hub;
use crate::ask::Ask;
use crate::connection::{self, Connection};
use crate::permit::Permit;
use bytes::Bytes;
use filberttrail_fleet::event::Number;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::time::Duration;

/// An answer whose body is still to be read.
pub struct Answered {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
}

/// A send without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// Nothing of it was sent.
    Unsent(String),
    /// The upstream says that it did not run it.
    NotRun {
        /// Whether the fault lies with another rank of its group.
        by_group: bool,
        /// Whether another upstream has taken its address.
        misdirected: bool,
    },
    /// It may have run.
    Unknown(String),
    /// It may have run, and there was no answer in time.
    Silent,
}

/// Sends a request to the upstream of a permit and waits so long for the head of its answer.
pub async fn send(
    hub: &Hub,
    permit: &Permit,
    ask: &Ask,
    after_event: Option<Number>,
    patience: Duration,
) -> Result<Answered, Failed> {
    let left = ask.deadline.saturating_sub(hub.now());
    let request = build(hub, permit, ask, after_event, left);
    let exchange = exchange(hub, permit, request, left);
    let answered = match tokio::time::timeout(patience.min(left), exchange).await {
        Ok(answered) => answered?,
        Err(_) => return Err(Failed::Silent),
    };
    judge(hub, ask, &permit.id, &answered.head).map(|()| answered)
}

async fn exchange(
    hub: &Hub,
    permit: &Permit,
    request: Request<Full<Bytes>>,
    left: Duration,
) -> Result<Answered, Failed> {
    let mut request = request;
    // A kept connection may turn out to be closed before anything was sent on it.
    while let Some(mut connection) = hub.pool.take(permit.address) {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok(answered(response, connection)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(Failed::Unknown(error.into_error().to_string())),
            },
        }
    }
    let mut connection = connection::connect(permit.address, left).await.map_err(Failed::Unsent)?;
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(answered(response, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(Failed::Unsent(error.into_error().to_string())),
            None => Err(Failed::Unknown(error.into_error().to_string())),
        },
    }
}

fn answered(response: hyper::Response<Incoming>, connection: Connection) -> Answered {
    let (head, body) = response.into_parts();
    Answered { head, body, connection }
}

fn build(
    hub: &Hub,
    permit: &Permit,
    ask: &Ask,
    after_event: Option<Number>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let names = &hub.interface.headers;
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    if let Ok(target) = ask.target.parse() {
        *request.uri_mut() = target;
    }
    let mut headers = ask.headers.clone();
    headers.insert(names.left_ms.clone(), HeaderValue::from(left.as_millis() as u64));
    let texts = [(&names.instance, Some(&permit.id)), (&names.team, ask.team.as_ref())];
    for (name, text) in texts {
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

/// Judges whether an answer belongs to the request and may be passed on.
fn judge(hub: &Hub, ask: &Ask, upstream: &str, head: &Parts) -> Result<(), Failed> {
    let names = &hub.interface.headers;
    let id = head.headers.get(&names.request);
    if id.is_some_and(|id| id.as_bytes() != ask.id.as_bytes()) {
        return Err(Failed::Unknown("the answer belongs to another request".to_string()));
    }
    let not_run = head.headers.contains_key(&names.not_run);
    if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        let by_group = head.headers.contains_key(&names.at_fault);
        let another = head.headers.get(&names.answering);
        let another = another.is_some_and(|id| id.as_bytes() != upstream.as_bytes());
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && another && !by_group;
        return Err(Failed::NotRun { by_group, misdirected });
    }
    if !head.headers.contains_key(&names.signature) || id.is_none() {
        return Err(Failed::Unknown(format!("status {} without a signature", head.status)));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failed::Unknown("the answer is encoded".to_string()));
    }
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&head.status) {
        // The status says "not run", which the upstream did not.
        return Err(Failed::Unknown(format!("status {} without proof", head.status)));
    }
    Ok(())
}

/// Returns how long the upstream keeps the connection idle, or none if it closes it now.
pub fn keep_time(headers: &HeaderMap) -> Option<Option<Duration>> {
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
