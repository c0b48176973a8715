//! Streams an upstream's response to the caller.

use crate::admission::Permit;
use crate::dispatch::UpstreamResponse;
use crate::events::{Event, Receiver};
use crate::upstream::Upstream;
use bytes::Bytes;
use filberttrail_protocol::frame::Head;
use filberttrail_web::body::Truncated;
use filberttrail_web::{Body, Problem, Response};
use futures::Stream;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// Converts an upstream's response, whose head has arrived, into the caller's response.
///
/// The permit is held until the response ends.
pub fn respond(upstream_response: UpstreamResponse, id: &str, permit: Permit) -> Response {
    let UpstreamResponse { head, events, upstream, number } = upstream_response;
    let mut response = Response::new(Body::empty());
    set_head(&mut response, &head, id);
    let event_stream = is_event_stream(&response);
    let stage = Stage::Open;
    let chunks = Chunks { events, upstream, number, event_stream, stage, _permit: permit };
    *response.body_mut() = Body::Stream(Box::pin(chunks));
    response
}

fn set_head(response: &mut Response, head: &Head, id: &str) {
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", id);
    }
}

fn is_event_stream(response: &Response) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// More of the response may arrive.
    Open,
    /// The response was truncated, and an error event was sent in the event stream.
    ErrorSent,
    /// The response has ended.
    Ended,
}

/// The chunks of a response, read only as fast as the caller takes them.
///
/// The stream ends without an error only if the response is complete.
struct Chunks {
    events: Receiver,
    upstream: Arc<Upstream>,
    number: u64,
    event_stream: bool,
    stage: Stage,
    _permit: Permit,
}

impl Chunks {
    /// Reports a truncated response: by an error event if it is an event stream, and then by
    /// closing the connection.
    fn fail(&mut self) -> Result<Bytes, Truncated> {
        if !self.event_stream {
            self.stage = Stage::Ended;
            return Err(Truncated);
        }
        self.stage = Stage::ErrorSent;
        let detail = "the answer broke off: what came is not whole; ask again";
        let problem = Problem::new(StatusCode::BAD_GATEWAY, "answer broken off", detail);
        let text = serde_json::to_string(&problem.with_unknown_outcome()).unwrap_or_default();
        Ok(format!("event: error\ndata: {text}\n\n").into())
    }
}

impl Stream for Chunks {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            match self.stage {
                Stage::Open => {}
                Stage::ErrorSent => {
                    self.stage = Stage::Ended;
                    return Poll::Ready(Some(Err(Truncated)));
                }
                Stage::Ended => return Poll::Ready(None),
            }
            match ready!(self.events.poll_recv(context)) {
                Some(Event::Chunk(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                Some(Event::Head(_)) => {}
                Some(Event::End) => self.stage = Stage::Ended,
                Some(Event::Failed(failure)) => {
                    log::warn!(
                        "response of {} ended before it was complete: {}",
                        self.upstream.name,
                        failure.cause
                    );
                    return Poll::Ready(Some(self.fail()));
                }
                None => return Poll::Ready(Some(self.fail())),
            }
        }
    }
}

impl Drop for Chunks {
    fn drop(&mut self) {
        // The caller disconnected before the end of the response.
        if self.stage == Stage::Open {
            self.upstream.cancel(self.number);
        }
    }
}
