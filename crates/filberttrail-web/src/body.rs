//! Bodies: whole, or as a channel that ends the connection if it breaks off.

use bytes::Bytes;
use futures::Stream;
use hyper::body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A body to send.
pub enum Body {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes piece by piece; `Err` cuts the connection, so that the reader sees it is short.
    Channel(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// The same, from a stream that is read only as fast as the reader takes it.
    Stream(ChunkStream),
}

/// ChunkStream of a body.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>> + Send>>;

/// A body that broke off.
#[derive(Debug)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off; ask again")
    }
}

impl std::error::Error for Truncated {}

impl Body {
    /// Makes a body of some bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Makes an empty body.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// Makes a body that is sent piece by piece, with room for so many pieces.
    pub fn channel(room: usize) -> (mpsc::Sender<Result<Bytes, Truncated>>, Self) {
        let (sender, receiver) = mpsc::channel(room);
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
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
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Channel(_) | Self::Stream(_) => SizeHint::default(),
        }
    }
}
