//! HTTP bodies: complete, or streamed. A stream that fails aborts the connection.

use crate::memory::Hold;
use bytes::Bytes;
use futures::Stream;
use hyper::body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of a request or response to send.
pub enum Body {
    /// A complete body; `None` if it is empty or has been sent.
    Complete(Option<Bytes>),
    /// A complete body that is charged to a memory budget. The server closes the connection if the body
    /// gives way to others before the peer has taken it.
    Held(Option<Bytes>, Arc<Hold>),
    /// Chunks from a channel; `Err` aborts the connection, so that the peer detects the truncation.
    Channel(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// Chunks from a stream that is polled only as fast as the peer reads.
    Stream(ChunkStream),
}

/// A stream of body chunks; `Err` aborts the connection.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>> + Send>>;

/// The error of a body that ended before it was complete.
#[derive(Debug)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off; ask again")
    }
}

impl std::error::Error for Truncated {}

impl Body {
    /// Creates a complete body.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Complete(None)
    }

    /// Creates a body fed by a channel that buffers up to `capacity` chunks.
    pub fn channel(capacity: usize) -> (mpsc::Sender<Result<Bytes, Truncated>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Channel(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Complete(bytes) | Self::Held(bytes, _) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Channel(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None) | Self::Held(None, _))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) | Self::Held(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Channel(_) | Self::Stream(_) => SizeHint::default(),
        }
    }
}
