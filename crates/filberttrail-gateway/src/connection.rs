//! A pool of idle connections to upstreams.

use crate::allowance::Allowance;
use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_web::client::{CONNECT_TIMEOUT, configure_socket};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum number of idle connections per upstream.
const IDLE_LIMIT: usize = 8;
/// Idle timeout of a connection whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time by which the idle timeout is shorter than the upstream's, so that no request is sent while
/// the upstream closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Delay before a connection is reused. A response that is sent twice is detected within it.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Bytes that may be read up to the end of a response head, with interim responses.
pub const HEAD_ALLOWANCE: u64 = 256 << 10;
/// Bytes that may be read from an idle connection. The HTTP library closes it on the first ones.
const IDLE_ALLOWANCE: u64 = 16 << 10;
/// Maximum size of a response head and of the buffer for reading, in bytes.
const BUFFER_LIMIT: usize = 64 << 10;

/// An open connection, which is closed when dropped.
pub struct Connection {
    /// Bytes that may still be read.
    pub allowance: Allowance,
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether a response was received on the connection before.
    pub used: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
    until: Duration,
}

/// Idle connections, grouped by address.
pub struct Pool {
    clock: clock::Shared,
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: clock::Shared) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, VecDeque<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the connection to an address that has been idle the longest.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let is_reusable =
            |idle: &Idle| now >= idle.since + REUSE_DELAY && idle.connection.sender.is_ready();
        let index = idle.iter().position(is_reusable)?;
        idle.remove(index).map(|idle| idle.connection)
    }

    /// Returns a connection to the pool after a complete response. `idle_timeout` is the one that
    /// the upstream announced.
    pub fn put_back(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let idle_timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        connection.used = true;
        connection.allowance.set(IDLE_ALLOWANCE);
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < IDLE_LIMIT && !idle_timeout.is_zero() && !connection.sender.is_closed() {
            let until = now.saturating_add(idle_timeout);
            idle.push_back(Idle { connection, since: now, until });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn remove_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let connecting =
        tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(connected) => connected?,
        Err(_) => return Err(io::Error::new(ErrorKind::TimedOut, "no connection in time")),
    };
    configure_socket(&stream);
    // Closing resets the connection: data that is delayed on the network must not reach the
    // upstream after the caller has left.
    if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("cannot set SO_LINGER on a connection to an upstream: {error}");
    }
    let allowance = Allowance::new(HEAD_ALLOWANCE);
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_LIMIT)
        .handshake(TokioIo::new(allowance.wrap(stream)))
        .await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection { allowance, sender, used: false, task: task.abort_handle() })
}
