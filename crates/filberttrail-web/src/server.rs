//! An HTTP/1 server that limits the resources each caller can occupy.

mod answer;
mod connection;
mod read;
mod seat;
mod seats;
mod socket;

pub use read::{crowded, read_body};

use crate::memory::{Budget, Sizes};
use crate::{Request, Response};
use filberttrail_kernel::{Error, Result, clock};
use hyper::StatusCode;
use seats::Seats;
use socket2::SockRef;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Resource limits of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The maximum number of open connections. When it is reached, the connection that has been idle or
    /// receiving a head for longest is closed in favour of a new one.
    pub connections: usize,
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum number of headers in a request.
    pub headers: usize,
    /// The timeout for reading a request head.
    pub header_wait: Duration,
    /// The timeout for a response write, while the caller reads nothing.
    pub slow_wait: Duration,
    /// The size of the kernel's receive buffer of a connection, in bytes. What it holds counts towards
    /// the memory of the process.
    pub receive_bytes: usize,
    /// The budget of the memory for connections. All servers of a process share it.
    pub memory: Budget,
}

/// The smallest read buffer that the HTTP library accepts, in bytes.
pub const HEADER_BYTES_MINIMUM: usize = 8_192;

/// The memory of a process without a configured one, in bytes.
pub const DEFAULT_MEMORY: usize = 128_000_000;
/// The default size of a connection's receive buffer, in bytes. It is the window that Linux announces at
/// first by default.
pub const RECEIVE_BYTES: usize = 64 << 10;
/// The minimum size of a connection's receive buffer, in bytes, so that a request with the largest head
/// fits.
pub const RECEIVE_BYTES_MINIMUM: usize = 16 << 10;

/// The bounds of the number of connections that wait to be accepted. The upper one is the default of the
/// runtime; the lower one is enough for a burst at an internal port.
const BACKLOG: std::ops::RangeInclusive<usize> = 128..=1_024;
/// Number of connections that may be closing in favour of new ones at once.
const CLOSING_LIMIT: usize = 32;

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16_384,
            headers: 64,
            header_wait: Duration::from_secs(10),
            slow_wait: Duration::from_secs(10),
            receive_bytes: RECEIVE_BYTES,
            memory: Budget::new(Sizes::with_memory(DEFAULT_MEMORY), clock::System::shared()),
        }
    }
}

/// Binds a TCP listener to an address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        let help = "free the address, or choose another (port 0 selects a free one)";
        Error::system(format!("address {address}"), error, help).into()
    })
}

/// Serves connections until `stop` becomes true or closes, then waits for open requests to finish.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    configure(&listener, &limits);
    let seats = Seats::new(limits.memory.clone(), limits.connections);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = async {
            let stream = accept(&listener).await?;
            while connections.len() >= limits.connections + CLOSING_LIMIT {
                connections.join_next().await;
            }
            loop {
                if let Some(taken) = seats.try_take() {
                    return Some((stream, taken));
                }
                seats.freed().await;
            }
        };
        let accepted = tokio::select! {
            accepted = accepted => accepted,
            () = wait_until_stopped(&mut stop) => break,
        };
        if let Some((stream, taken)) = accepted {
            let (limits, handler, stop) = (limits.clone(), handler.clone(), stop.clone());
            connections.spawn(async move {
                connection::serve(stream, &limits, stop, &taken.seat, handler).await;
                drop(taken);
            });
        }
    }
    // Closing the listener resets the connections that wait to be accepted.
    for stream in take_waiting(listener) {
        let Some(taken) = seats.try_take() else { break };
        let (limits, handler, stop) = (limits.clone(), handler.clone(), stop.clone());
        connections.spawn(async move {
            connection::serve(stream, &limits, stop, &taken.seat, handler).await;
            drop(taken);
        });
    }
    while connections.join_next().await.is_some() {}
}

/// Bounds what the kernel holds for the connections of a listener, which inherit its receive buffer.
fn configure(listener: &TcpListener, limits: &Limits) {
    let socket = SockRef::from(listener);
    let backlog = limits.connections.clamp(*BACKLOG.start(), *BACKLOG.end());
    let configured = socket
        .set_recv_buffer_size(limits.receive_bytes)
        .and_then(|()| socket.listen(backlog as i32));
    if let Err(error) = configured {
        log::warn!("cannot bound the buffers of connections: {error}; the kernel's bounds apply");
    }
}

/// Closes a listener and returns the connections that waited to be accepted.
fn take_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("cannot accept the connections that wait: {error}; their callers retry");
            return Vec::new();
        }
    };
    let accept = || listener.accept().ok().map(|(stream, _)| stream);
    let streams = std::iter::from_fn(accept);
    let usable = streams.filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    usable.collect()
}

/// Waits until `stop` becomes true or closes.
pub async fn wait_until_stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            // Usually the process is out of file descriptors; wait until other connections close.
            log::warn!("cannot accept a connection: {error}; raise the limit of open files");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

/// Creates a response with a JSON body.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(crate::Body::new(text));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
