//! A connection whose other side must go on reading.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A stream that fails once a write has waited too long.
pub struct Stream<S> {
    inner: S,
    timeout: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a stream; a write may wait so long.
    pub fn new(inner: S, timeout: Duration) -> Self {
        Self { inner, timeout, waiting: None }
    }

    /// Lets a pending write wait on, or fails it.
    fn judge<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let timeout = self.timeout;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(waiting.as_mut().poll(context));
        let fault = format!("the other side read nothing for {timeout:?}");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, fault)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.judge(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, pieces);
        self.judge(written, context)
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
