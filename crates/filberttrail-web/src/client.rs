//! A client that tells whether a failed request was sent.

use crate::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
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

/// Idle connections kept for one address.
const IDLE_LIMIT: usize = 64;
/// How long connecting may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The pause before and between keep-alive probes of an idle connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// A client with a pool of connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>,
}

/// A request that got no answer.
#[derive(Debug)]
pub struct Failure {
    /// Whether any of it may have been sent; `false` is proof that it was not run.
    pub sent: bool,
    /// What happened.
    pub fault: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.fault)
    }
}

impl Client {
    /// Makes a client with no connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: hyper::Request<Body>,
    ) -> Result<hyper::Response<Incoming>, Failure> {
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = match sender.try_send_request(request).await {
            Ok(response) => {
                self.give(address, sender);
                return Ok(response);
            }
            Err(mut error) => match error.take_message() {
                Some(request) => request,
                None => {
                    let fault = error.into_error().to_string();
                    return Err(Failure { sent: true, fault });
                }
            },
        };
        // An idle connection was closed before anything was sent on it: a new one is safe.
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.give(address, sender);
                Ok(response)
            }
            Err(mut error) => {
                let sent = error.take_message().is_none();
                Err(Failure { sent, fault: error.into_error().to_string() })
            }
        }
    }

    /// Sends a request and reads the whole answer, within a time and a size.
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
            let body = body.map_err(|fault| Failure { sent: true, fault: fault.to_string() })?;
            Ok(hyper::Response::from_parts(head, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                let fault = format!("no answer within {} ms", timeout.as_millis());
                Err(Failure { sent: true, fault })
            }
        }
    }

    /// Sends JSON, or no body if it is empty, and reads the whole answer, within a time and a size.
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
        let request = request.map_err(|fault| Failure { sent: false, fault: fault.to_string() })?;
        self.fetch(address, request, timeout, limit).await
    }

    fn take(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().position(SendRequest::is_ready)?;
        Some(senders.swap_remove(ready))
    }

    fn give(&self, address: SocketAddr, sender: SendRequest<Body>) {
        if let Ok(mut idle) = self.idle.lock() {
            let senders = idle.entry(address).or_default();
            if senders.len() < IDLE_LIMIT {
                senders.push(sender);
            }
        }
    }
}

/// Sets a connection up so that one that was silenced ends within seconds.
pub fn configure_socket(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(fault) = tuned {
        log::debug!("cannot set a connection up: {fault}");
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, Failure> {
    let unsent = |fault: String| Failure { sent: false, fault };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| unsent(format!("{address} does not accept connections")))?
        .map_err(|fault| unsent(format!("{address}: {fault}")))?;
    configure_socket(&stream);
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|fault| unsent(fault.to_string()))?;
    tokio::spawn(async move {
        if let Err(fault) = connection.await {
            log::debug!("connection to {address} ended: {fault}");
        }
    });
    Ok(sender)
}
