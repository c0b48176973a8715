//! The socket of a connection, which lingers after a refusal.

use crate::server::seat::Seat;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time for which the rest of a refused request is read and discarded. Closing at once would reset the
/// connection, and a peer that still sends would lose the response.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Number of bytes that are discarded at most: the largest body that platforms configure, with some room
/// for the sizes of chunks.
const LINGER_BYTES: usize = (4 << 20) + (64 << 10);
/// Number of connections of a process that linger at once. Others are closed without.
const LINGER_LIMIT: usize = 64;
/// Number of bytes that are read at once while there are many connections. The HTTP library grows its
/// read buffer from 8,192 bytes when a read fills it.
const CROWDED_READ: usize = 8_191;
/// Size of the buffer for what is discarded, in bytes.
const DISCARD_BUFFER: usize = 8 << 10;

/// A connection's socket.
pub(super) struct Socket {
    inner: TcpStream,
    seat: Arc<Seat>,
    writing: bool,
    at_end: bool,
    is_shut: bool,
    linger: Option<Linger>,
}

struct Linger {
    seat: Arc<Seat>,
    deadline: Pin<Box<Sleep>>,
    left: usize,
    buffer: Vec<u8>,
}

impl Socket {
    /// Wraps the socket of a connection.
    pub fn new(inner: TcpStream, seat: Arc<Seat>) -> Self {
        Self { inner, seat, writing: false, at_end: false, is_shut: false, linger: None }
    }

    fn record_write<T>(&mut self, written: Poll<T>) -> Poll<T> {
        if written.is_pending() != self.writing {
            self.writing = written.is_pending();
            self.seat.set_writing(self.writing);
        }
        written
    }
}

impl Linger {
    /// Starts to linger, unless too many connections of the process do so already.
    fn start(seat: Arc<Seat>) -> Option<Self> {
        let started = seat.budget.start_lingering(LINGER_LIMIT);
        started.then(|| Self {
            seat,
            deadline: Box::pin(tokio::time::sleep(LINGER_TIME)),
            left: LINGER_BYTES,
            buffer: vec![0; DISCARD_BUFFER],
        })
    }

    /// Discards what arrives until the peer closes the connection or a bound is reached.
    fn poll_discard(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        while self.left > 0 && self.deadline.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut self.buffer);
            let read = ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 {
                break;
            }
            self.left = self.left.saturating_sub(length);
        }
        Poll::Ready(())
    }
}

impl Drop for Linger {
    fn drop(&mut self) {
        self.seat.budget.end_lingering();
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = match self.seat.is_crowded() {
            true => {
                // Nothing is initialised, and so made resident, before there is something to read.
                ready!(self.inner.poll_read_ready(context))?;
                let limit = buffer.remaining().min(CROWDED_READ);
                let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(limit));
                ready!(Pin::new(&mut self.inner).poll_read(context, &mut limited))?;
                let length = limited.filled().len();
                buffer.advance(length);
                length
            }
            false => {
                let before = buffer.filled().len();
                ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
                buffer.filled().len() - before
            }
        };
        match length {
            0 => self.at_end = true,
            _ => self.seat.record_read(),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.is_shut {
            ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
            this.is_shut = true;
            if !this.at_end && this.seat.is_unfinished() {
                this.linger = Linger::start(this.seat.clone());
            }
        }
        if let Some(linger) = &mut this.linger {
            ready!(linger.poll_discard(&mut this.inner, context));
            this.linger = None;
        }
        Poll::Ready(Ok(()))
    }
}
