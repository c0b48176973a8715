//! A limit on the bytes that may be read from a connection before the next step of an exchange.
//!
//! The HTTP library bounds the size of heads and of chunk extensions, but not the number of interim
//! responses, and it keeps reading for as long as bytes arrive.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read from a connection; clones share the number.
#[derive(Debug, Clone)]
pub struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Creates an allowance of `bytes`.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Replaces the number of bytes that may still be read.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Wraps a stream, whose reads fail once they exceed the allowance.
    pub fn wrap<S>(&self, stream: S) -> Limited<S> {
        Limited { inner: stream, allowance: self.clone() }
    }

    fn take(&self, bytes: u64) -> io::Result<()> {
        let subtract = |left: u64| left.checked_sub(bytes);
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        taken.map(drop).map_err(|left| {
            let message = format!("the upstream sent over {left} bytes more than a response needs");
            io::Error::new(io::ErrorKind::InvalidData, message)
        })
    }
}

/// A stream from which only the allowed number of bytes can be read.
pub struct Limited<S> {
    inner: S,
    allowance: Allowance,
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.allowance.take(read as u64))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
