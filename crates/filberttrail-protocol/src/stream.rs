//! A TCP connection that receives no more than its meter admits.

use crate::meter::Meter;
use filberttrail_limit::Memory;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Maximum number of bytes of one read.
const READ_BYTES: usize = 16 << 10;
/// Interval at which a connection checks whether there is memory to receive more. The peer's bytes
/// stay in the kernel until then.
const MEMORY_WAIT: Duration = Duration::from_millis(10);

/// A TCP connection between an entry and a sidecar.
pub struct Stream {
    tcp: TcpStream,
    meter: Arc<Mutex<Meter>>,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Creates a connection whose messages hold `memory` while they are received.
    pub fn new(tcp: TcpStream, memory: &Memory) -> Self {
        let _ = tcp.set_nodelay(true);
        Self { tcp, meter: Arc::new(Mutex::new(Meter::new(memory.hold()))), waiting: None }
    }

    /// Returns the meter of the received bytes.
    pub(crate) fn meter(&self) -> Arc<Mutex<Meter>> {
        self.meter.clone()
    }
}

/// Locks a meter.
pub(crate) fn lock(meter: &Mutex<Meter>) -> MutexGuard<'_, Meter> {
    meter.lock().unwrap_or_else(PoisonError::into_inner)
}

impl From<TcpStream> for Stream {
    fn from(tcp: TcpStream) -> Self {
        Self::new(tcp, &Memory::unlimited())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if let Some(waiting) = &mut this.waiting {
                ready!(waiting.as_mut().poll(context));
                this.waiting = None;
            }
            let wanted = buffer.remaining().min(READ_BYTES);
            let admitted = match lock(&this.meter).admit(wanted) {
                None => {
                    let error = "the peer sends too much before it proves the secret";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
                }
                Some(0) if wanted > 0 => {
                    this.waiting = Some(Box::pin(tokio::time::sleep(MEMORY_WAIT)));
                    continue;
                }
                Some(admitted) => admitted,
            };
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(admitted));
            let polled = Pin::new(&mut this.tcp).poll_read(context, &mut part);
            let received = part.filled().len();
            lock(&this.meter).record(admitted, received);
            buffer.advance(received);
            return polled;
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
