//! An HTTP/1 client that reports whether a failed request may have been sent.

use crate::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// The maximum number of idle connections per address.
const IDLE_LIMIT: usize = 64;
/// The timeout for opening a TCP connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An HTTP/1 client with a pool of idle connections per address.
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>,
    /// Whether a connection is kept after a response with a status.
    keeps_after: fn(StatusCode) -> bool,
}

impl Default for Client {
    fn default() -> Self {
        Self { idle: Mutex::default(), keeps_after: |_| true }
    }
}

/// The error of a request that received no response.
#[derive(Debug)]
pub struct Failure {
    /// Whether any byte may have been sent; `false` proves that the request was not run.
    pub sent: bool,
    /// A description of the failure.
    pub error: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.error)
    }
}

impl Client {
    /// Creates a client with no connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets after which responses connections are kept for further requests. A faulty server may write a
    /// response once more, which looks like that to the next request on the connection.
    pub fn with_kept(self, keeps_after: fn(StatusCode) -> bool) -> Self {
        Self { keeps_after, ..self }
    }

    /// Sends a request and waits for the response head; the body is streamed.
    ///
    /// There is no timeout on the response: the caller has to set one.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: hyper::Request<Body>,
    ) -> Result<hyper::Response<Incoming>, Failure> {
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = match sender.try_send_request(request).await {
            Ok(response) => {
                self.put_idle(address, sender, response.status());
                return Ok(response);
            }
            Err(mut error) => match error.take_message() {
                Some(request) => request,
                None => {
                    let error = error.into_error().to_string();
                    return Err(Failure { sent: true, error });
                }
            },
        };
        // The idle connection was closed before anything was sent, so a retry on a new one is safe.
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.put_idle(address, sender, response.status());
                Ok(response)
            }
            Err(mut error) => {
                let sent = error.take_message().is_none();
                Err(Failure { sent, error: error.into_error().to_string() })
            }
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// Fails after `timeout`, and closes the idle connections to the address then, or if the response body exceeds `limit` bytes.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: hyper::Request<Body>,
        timeout: Duration,
        limit: usize,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        let exchange = async {
            let (head, body) = self.send(address, request).await?.into_parts();
            let body = http_body_util::Limited::new(body, limit).collect().await;
            let body = body.map_err(|error| Failure { sent: true, error: error.to_string() })?;
            Ok(hyper::Response::from_parts(head, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                // Whatever silenced this connection may have silenced the idle ones too.
                self.close_idle(address);
                let error = format!("no response within {} ms", timeout.as_millis());
                Err(Failure { sent: true, error })
            }
        }
    }

    /// Sends a JSON body, or none if `body` is empty, and reads the complete response.
    ///
    /// Fails after `timeout`, or if the response body exceeds `limit` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: hyper::Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
        limit: usize,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string());
        if !body.is_empty() {
            request = request.header(hyper::header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Body::new(body));
        let request = request.map_err(|error| Failure { sent: false, error: error.to_string() })?;
        self.fetch(address, request, timeout, limit).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().position(SendRequest::is_ready)?;
        Some(senders.swap_remove(ready))
    }

    fn close_idle(&self, address: SocketAddr) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(&address);
        }
    }

    fn put_idle(&self, address: SocketAddr, sender: SendRequest<Body>, status: StatusCode) {
        if !(self.keeps_after)(status) {
            return;
        }
        if let Ok(mut idle) = self.idle.lock() {
            let senders = idle.entry(address).or_default();
            if senders.len() < IDLE_LIMIT {
                senders.push(sender);
            }
        }
    }
}

/// Sets socket options so that a connection to an unreachable peer is closed within seconds.
pub fn configure_socket(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = configured {
        log::debug!("cannot set the socket options of a connection: {error}");
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, Failure> {
    let unsent = |error: String| Failure { sent: false, error };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| unsent(format!("{address}: timed out connecting")))?
        .map_err(|error| unsent(format!("{address}: {error}")))?;
    configure_socket(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| unsent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} closed: {error}");
        }
    });
    Ok(sender)
}
