//! A stream wrapper that fails when the peer stops reading.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A stream whose writes fail with `TimedOut` once one has been pending for the timeout.
pub struct Stream<S> {
    inner: S,
    timeout: Duration,
    deadline: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a stream; `timeout` bounds how long one write may be pending.
    pub fn new(inner: S, timeout: Duration) -> Self {
        Self { inner, timeout, deadline: None }
    }

    /// Returns the result of a write, or an error if it has been pending for the timeout.
    fn check_timeout<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let timeout = self.timeout;
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(deadline.as_mut().poll(context));
        let message = format!("the peer read nothing for {timeout:?}");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
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
        self.check_timeout(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.check_timeout(written, context)
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
