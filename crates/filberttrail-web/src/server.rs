//! A server with bounds on everything a caller can make it keep.

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
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Open connections.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Headers of a request.
    pub headers: usize,
    /// How long the head may take to arrive.
    pub header_wait: Duration,
    /// How long a caller may read nothing of its answer.
    pub slow_wait: Duration,
}

/// The smallest buffer that the HTTP library reads a head into, in bytes.
pub const HEADER_BYTES_MINIMUM: usize = 8_192;

/// How far beyond the limits a head is read, so that its caller can be told what is wrong with it.
const HEADROOM: usize = 4;

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

/// Binds an address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|fault| {
        let help = "free the address, or choose another (port 0 takes any)";
        Error::system(format!("address {address}"), fault, help).into()
    })
}

/// Serves until `stop` turns true or closes, then lets every open request end.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = accept(&listener, &room) => accepted,
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
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until `stop` turns true or closes.
pub async fn wait_until_stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = room.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(fault) => {
            // Out of file descriptors, for one: waiting lets others end.
            log::warn!("cannot accept a connection: {fault}; raise the limit of open files");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
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
    let service = service_fn(move |request| {
        let answer = match judge_head(&request, &bounds) {
            None => Ok(handler(request)),
            Some(problem) => Err(problem),
        };
        async move {
            let response = match answer {
                Ok(answer) => answer.await,
                Err(problem) => problem.into_response(),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_wait)
        .max_buf_size(HEADROOM * limits.header_bytes.max(HEADER_BYTES_MINIMUM))
        .max_headers(HEADROOM * limits.headers)
        .serve_connection(
            TokioIo::new(write_timeout::Stream::new(stream, limits.slow_wait)),
            service,
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(fault) = ended {
        log::debug!("a caller's connection ended: {fault}");
    }
}

/// Returns the problem of a head that is over the limits.
fn judge_head(request: &Request, limits: &Limits) -> Option<Problem> {
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

/// Reads a whole body, within a size and a time; otherwise the problem to answer with.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> std::result::Result<Bytes, Problem> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
            let detail = format!("send at most {limit} bytes");
            Err(Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large", detail))
        }
        Ok(Err(fault)) => Err(Problem::new(StatusCode::BAD_REQUEST, "body broken off", fault)),
        Err(_) => {
            let detail = format!("send the whole body within {} ms", timeout.as_millis());
            Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "body too slow", detail))
        }
    }
}

/// Answers with a value in JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(crate::Body::new(text));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}
