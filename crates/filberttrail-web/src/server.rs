//! An HTTP/1 server that limits the resources each caller can occupy.

use crate::write_timeout;
use crate::{Problem, Request, Response};
use bytes::Bytes;
use filberttrail_kernel::{Error, Result};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinSet;

/// Resource limits of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum number of headers in a request.
    pub headers: usize,
    /// The timeout for reading a request head.
    pub header_wait: Duration,
    /// The timeout for a response write, while the caller reads nothing.
    pub slow_wait: Duration,
}

/// The smallest read buffer that the HTTP library accepts, in bytes.
pub const HEADER_BYTES_MINIMUM: usize = 8_192;

/// The time for which a stopping server waits for the first request of a new connection.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// The multiple of the limits up to which a head is parsed, so that a head over the limits still
/// gets a problem document instead of a closed connection.
const HEAD_PARSE_FACTOR: usize = 4;

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16_384,
            headers: 64,
            header_wait: Duration::from_secs(10),
            slow_wait: Duration::from_secs(10),
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
    let slots = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            () = wait_until_stopped(&mut stop) => break,
        };
        if let Some((stream, permit)) = accepted {
            let (limits, handler, stop) = (limits.clone(), handler.clone(), stop.clone());
            connections.spawn(async move {
                serve_connection(stream, &limits, stop, handler).await;
                drop(permit);
            });
        }
    }
    // Closing the listener resets the connections that wait to be accepted.
    for stream in take_waiting(listener) {
        let Ok(permit) = slots.clone().try_acquire_owned() else { break };
        let (limits, handler, stop) = (limits.clone(), handler.clone(), stop.clone());
        connections.spawn(async move {
            serve_connection(stream, &limits, stop, handler).await;
            drop(permit);
        });
    }
    while connections.join_next().await.is_some() {}
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

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            // Usually the process is out of file descriptors; wait until other connections close.
            log::warn!("cannot accept a connection: {error}; raise the limit of open files");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

/// Whether the first request of a connection has begun.
#[derive(Default)]
struct Begun {
    begun: AtomicBool,
    notify: Notify,
}

impl Begun {
    fn record(&self) {
        self.begun.store(true, Ordering::Relaxed);
        self.notify.notify_one();
    }

    async fn wait(&self) {
        if !self.begun.load(Ordering::Relaxed) {
            self.notify.notified().await;
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: &Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let bounds = limits.clone();
    let begun = Arc::new(Begun::default());
    let begun_by_service = begun.clone();
    let service = service_fn(move |request| {
        begun_by_service.record();
        let checked = match check_head(&request, &bounds) {
            None => Ok(handler(request)),
            Some(problem) => Err(problem),
        };
        async move {
            let response = match checked {
                Ok(response) => response.await,
                Err(problem) => problem.into_response(),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_wait)
        .max_buf_size(HEAD_PARSE_FACTOR * limits.header_bytes.max(HEADER_BYTES_MINIMUM))
        .max_headers(HEAD_PARSE_FACTOR * limits.headers)
        .serve_connection(
            TokioIo::new(write_timeout::Stream::new(stream, limits.slow_wait)),
            service,
        );
    tokio::pin!(connection);
    let stopped = async {
        wait_until_stopped(&mut stop).await;
        // The HTTP library closes a connection from which it has read nothing yet. A caller may
        // have sent its first request already.
        let _ = tokio::time::timeout(FIRST_REQUEST_WAIT, begun.wait()).await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection closed: {error}");
    }
}

/// Returns a problem if the head exceeds the limits.
///
/// The size counts 4 bytes per header for its separators (`: ` and CRLF).
fn check_head(request: &Request, limits: &Limits) -> Option<Problem> {
    let headers = request.headers();
    let lengths = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let bytes = lengths.sum::<usize>() + request.uri().to_string().len();
    let detail = if headers.len() > limits.headers {
        format!("send at most {} headers", limits.headers)
    } else if bytes > limits.header_bytes {
        format!("send a head of at most {} bytes", limits.header_bytes)
    } else {
        return None;
    };
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Some(Problem::new(status, "head too large", detail))
}

/// Reads a complete body of at most `limit` bytes within `timeout`.
///
/// Returns the problem to respond with if the body is too large, too slow or incomplete.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> std::result::Result<Bytes, Problem> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("send at most {limit} bytes");
            Err(Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large", detail))
        }
        Ok(Err(error)) => Err(Problem::new(StatusCode::BAD_REQUEST, "body broken off", error)),
        Err(_) => {
            let detail = format!("send the whole body within {} ms", timeout.as_millis());
            Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "body too slow", detail))
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
