//! Serves the requests of one connection.

use super::answer::Answer;
use super::seat::Seat;
use super::socket::Socket;
use super::{HEADER_BYTES_MINIMUM, Limits, wait_until_stopped};
use crate::{Body, Problem, Request, Response, write_timeout};
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

/// The time for which a stopping server waits for the first request of a new connection.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// The number of bytes by which a head may exceed the limit and still get a problem document. The HTTP
/// library answers larger ones with status 431 and no body. It reads bodies into a buffer of the same
/// size, so that each connection holds at most so much.
const HEAD_MARGIN: usize = 4_096;

/// The multiple of the limit up to which headers are parsed, so that a head over the limit still gets a
/// problem document.
const HEADERS_PARSE_FACTOR: usize = 4;

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

/// Serves one connection until it closes.
pub(super) async fn serve<H, F>(
    stream: TcpStream,
    limits: &Limits,
    mut stop: watch::Receiver<bool>,
    seat: &Arc<Seat>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let bounds = limits.clone();
    let begun = Arc::new(Begun::default());
    let begun_by_service = begun.clone();
    let seat_of_service = seat.clone();
    let service = service_fn(move |request: Request| {
        begun_by_service.record();
        let seat = seat_of_service.clone();
        seat.start_request(!request.body().is_end_stream());
        let checked = match check_head(&request, &bounds) {
            // Boxed, as the library otherwise keeps room for it in each idle connection.
            None => Ok(Box::pin(handler(request))),
            Some(problem) => Err(problem),
        };
        async move {
            let response = match checked {
                Ok(response) => response.await,
                Err(problem) => problem.into_response(),
            };
            if let Body::Held(_, hold) = response.body() {
                let seat = seat.clone();
                hold.on_evict(move || seat.close(true));
            }
            let refused = !response.status().is_success();
            Ok::<_, Infallible>(response.map(|body| Answer::new(body, seat, refused)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_wait)
        .max_buf_size(limits.header_bytes.max(HEADER_BYTES_MINIMUM) + HEAD_MARGIN)
        .max_headers(HEADERS_PARSE_FACTOR * limits.headers)
        .serve_connection(
            TokioIo::new(write_timeout::Stream::new(
                Socket::new(stream, seat.clone()),
                limits.slow_wait,
            )),
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
        () = seat.closed() => return,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                ended = connection => ended,
                () = seat.closed() => return,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection closed: {error}");
    }
}

/// Returns a problem if the head exceeds the limits, or if the body is encoded in other ways than in
/// chunks. The HTTP library only removes the chunks, so an upstream would get the encoded bytes.
///
/// The size counts 4 bytes per header for its separators (`: ` and CRLF).
fn check_head(request: &Request, limits: &Limits) -> Option<Problem> {
    let headers = request.headers();
    let lengths = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let bytes = lengths.sum::<usize>() + request.uri().to_string().len();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    if codings.next().is_some_and(|first| !is_chunked(first)) || codings.next().is_some() {
        let detail = "send a body as it is, with its length or in chunks";
        return Some(Problem::new(StatusCode::NOT_IMPLEMENTED, "unknown transfer coding", detail));
    }
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
