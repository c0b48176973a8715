//! Passes an answer on to its caller.

use crate::answering::{Answering, Event};
use crate::dispatch::Answer;
use crate::upstream::Upstream;
use crate::wait::Permit;
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

/// Turns an answer whose head has arrived into the caller's response.
pub fn respond(answer: Answer, id: &str, permit: Permit) -> Response {
    let Answer { head, events, upstream, number } = answer;
    let mut response = Response::new(Body::empty());
    set_head(&mut response, &head, id);
    let streamed = is_event_stream(&response);
    let stage = Stage::Open;
    let pieces = Pieces { events, upstream, number, streamed, stage, _permit: permit };
    *response.body_mut() = Body::Stream(Box::pin(pieces));
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
    let kind = response.headers().get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The answer is still coming.
    Open,
    /// It broke off, and the caller was told so in the stream.
    Told,
    /// Nothing more will come.
    Ended,
}

/// The pieces of an answer, read only as fast as the caller takes them. They end without an error
/// only if the answer is whole.
struct Pieces {
    events: Answering,
    upstream: Arc<Upstream>,
    number: u64,
    streamed: bool,
    stage: Stage,
    _permit: Permit,
}

impl Pieces {
    /// Says in the stream that it is not whole; the connection is cut after that.
    fn tell_broken(&mut self) -> Result<Bytes, Truncated> {
        if !self.streamed {
            self.stage = Stage::Ended;
            return Err(Truncated);
        }
        self.stage = Stage::Told;
        let detail = "the answer broke off: what came is not whole; ask again";
        let problem = Problem::new(StatusCode::BAD_GATEWAY, "answer broken off", detail);
        let text = serde_json::to_string(&problem.with_unknown_outcome()).unwrap_or_default();
        Ok(format!("event: error\ndata: {text}\n\n").into())
    }
}

impl Stream for Pieces {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            match self.stage {
                Stage::Open => {}
                Stage::Told => {
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
                    log::warn!("an answer of {} broke off: {}", self.upstream.name, failure.cause);
                    return Poll::Ready(Some(self.tell_broken()));
                }
                None => return Poll::Ready(Some(self.tell_broken())),
            }
        }
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        // The caller has gone before the end.
        if self.stage == Stage::Open {
            self.upstream.cancel(self.number);
        }
    }
}
