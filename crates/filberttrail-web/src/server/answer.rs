//! The body of a response, whose end is the end of its request.

use crate::Body;
use crate::body::Truncated;
use crate::server::seat::Seat;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A response body. When it is dropped, the request on its connection is over.
pub(super) struct Answer {
    body: Body,
    seat: Arc<Seat>,
    refused: bool,
}

impl Answer {
    /// Wraps a response body. `refused` tells whether the request was refused or has failed.
    pub fn new(body: Body, seat: Arc<Seat>, refused: bool) -> Self {
        Self { body, seat, refused }
    }
}

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.seat.end_request(self.refused);
    }
}
