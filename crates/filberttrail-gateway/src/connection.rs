//! Connections to upstreams, kept for the next request.

use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_web::client::{CONNECT_TIMEOUT, configure_socket};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle connections kept to one upstream.
const IDLE_LIMIT: usize = 8;
/// How long an idle connection is kept where the upstream does not say.
const IDLE_TIME: Duration = Duration::from_millis(4_000);
/// How much sooner than the upstream a connection is given up, so that the two do not cross.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a connection rests before it is used again: an answer sent twice shows itself by then.
const REST: Duration = Duration::from_millis(20);

/// An open connection; it is closed when dropped.
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether a request was answered on it before.
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

/// Idle connections by address.
pub struct Pool {
    clock: clock::Shared,
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    /// Starts an empty pool.
    pub fn new(clock: clock::Shared) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, VecDeque<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection that has rested longest.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let rested = |idle: &Idle| now >= idle.since + REST && idle.connection.sender.is_ready();
        let at = idle.iter().position(rested)?;
        idle.remove(at).map(|idle| idle.connection)
    }

    /// Keeps a connection on which an answer has ended; `keep` is the upstream's idle time-out.
    pub fn give(&self, address: SocketAddr, mut connection: Connection, keep: Option<Duration>) {
        let now = self.clock.now();
        let keep = keep.map_or(IDLE_TIME, |keep| keep.saturating_sub(IDLE_MARGIN));
        connection.used = true;
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < IDLE_LIMIT && !keep.is_zero() && !connection.sender.is_closed() {
            idle.push_back(Idle { connection, since: now, until: now + keep });
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes idle connections whose time is over.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr, patience: Duration) -> Result<Connection, String> {
    let connecting =
        tokio::time::timeout(patience.min(CONNECT_TIMEOUT), TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) => return Err(fault.to_string()),
        Err(_) => return Err("no connection in time".to_string()),
    };
    configure_socket(&stream);
    // A connection that is given up resets: bytes that are held up on the way must not reach the
    // upstream after the caller has left.
    if let Err(fault) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("cannot have a connection reset at its end: {fault}");
    }
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|fault| fault.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(fault) = connection.await {
            log::debug!("connection to {address} ended: {fault}");
        }
    });
    Ok(Connection { sender, used: false, task: task.abort_handle() })
}
