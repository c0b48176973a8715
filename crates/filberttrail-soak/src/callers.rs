//! Simulated callers, each with one keep-alive connection to a gateway at a time.

use crate::endpoint::HARMFUL_BODY;
use crate::estate::{Estate, api_key};
use crate::evidence::{Attempt, End};
use filberttrail_platform_stand_in::{Call, Kind};
use filberttrail_web::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout of a request, which the caller also sends to the gateway.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that a caller waits beyond the request's timeout for the head of the response and for each
/// chunk of its body, before it closes the connection.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Upper bound of the pause between the requests of a caller, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 60;
/// Pause before a caller retries to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause of the caller that sends harmful requests.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(120);
/// On average, one in this many requests is sent with the API key before the current one.
const PREVIOUS_KEY_ONE_IN: u32 = 10;
/// On average, the caller cancels one in this many streams after the first chunk.
const CANCEL_ONE_IN: u32 = 12;

/// The kinds of requests.
pub const KINDS: [Kind; 3] = [Kind::Read, Kind::Pay, Kind::Stream];

/// An open connection to a gateway. Closed when it is dropped.
struct Connection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    /// Incarnation of the gateway when the connection was opened.
    incarnation: usize,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends requests to one gateway, one after the other, until the estate's time has reached `until`.
/// Records each of them in the estate's evidence.
pub async fn run_caller(estate: Arc<Estate>, caller: usize, until: Duration) {
    let gateway = caller % estate.gateways.len();
    let mut idle = None;
    let mut number = 0_u64;
    while estate.now() < until {
        let Some(connection) =
            idle.take().filter(|connection: &Connection| !connection.sender.is_closed())
        else {
            idle = connect(&estate, gateway).await;
            if idle.is_none() {
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
            continue;
        };
        number += 1;
        let kind = KINDS[fastrand::usize(..KINDS.len())];
        let current = estate.current_key.load(Ordering::Relaxed);
        let use_previous = current > 0 && fastrand::u32(..PREVIOUS_KEY_ONE_IN) == 0;
        let key = if use_previous { current - 1 } else { current };
        let id = format!("call-{caller}-{number}");
        let call = Call { id, kind, key: api_key(key), timeout: REQUEST_TIMEOUT };
        let sent = estate.now();
        let life = connection.incarnation;
        let (end, part, connection) = send_request(&call, connection).await;
        let ended = estate.now();
        let id = call.id;
        let attempt = Attempt { id, kind, gateway, life, key, sent, ended, end, part };
        estate.evidence().attempts.push(attempt);
        idle = connection;
        tokio::time::sleep(Duration::from_millis(fastrand::u64(..MAX_THINK_TIME_MS))).await;
    }
}

/// Sends a request that ends each upstream which runs it to one gateway after the other, until the
/// estate's time has reached `until`. The ids name the gateways.
pub async fn run_harmful_caller(estate: Arc<Estate>, until: Duration) {
    let kind = KINDS[fastrand::usize(..KINDS.len())];
    for number in 0_u64.. {
        let now = estate.now();
        if now >= until {
            return;
        }
        let gateway = fastrand::usize(..estate.gateways.len());
        let key = api_key(estate.current_key.load(Ordering::Relaxed));
        let id = format!("harm-{gateway}-{}-{number}", now.as_millis());
        let call = Call { id, kind, key, timeout: REQUEST_TIMEOUT };
        if let Some(mut connection) = connect(&estate, gateway).await {
            let mut request = call.request();
            *request.body_mut() = Body::new(HARMFUL_BODY);
            let sending = connection.sender.send_request(request);
            // The caller comes again whatever the answer.
            let _ = tokio::time::timeout(REQUEST_TIMEOUT, sending).await;
        }
        tokio::time::sleep(HARMFUL_INTERVAL).await;
    }
}

async fn connect(estate: &Estate, gateway: usize) -> Option<Connection> {
    let address = estate.gateways[gateway].front.address;
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    let incarnation = estate.gateways[gateway].incarnation.load(Ordering::Relaxed);
    Some(Connection { sender, task, incarnation })
}

/// Sends one request and reads the response. Returns the outcome, the body as for
/// [`Attempt::part`], and the connection if it can be used again.
async fn send_request(
    call: &Call,
    mut connection: Connection,
) -> (End, String, Option<Connection>) {
    let empty = String::new();
    if connection.sender.ready().await.is_err() {
        return (End::Unsent, empty, None);
    }
    let sending = connection.sender.try_send_request(call.request());
    let response = match tokio::time::timeout(REQUEST_TIMEOUT + TIMEOUT_MARGIN, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            return (if unsent { End::Unsent } else { End::Broken }, empty, None);
        }
        Err(_) => return (End::Broken, empty, None),
    };
    let status = response.status().as_u16();
    let own = call.is_answered_by(response.headers());
    let cancels = call.kind == Kind::Stream && fastrand::u32(..CANCEL_ONE_IN) == 0;
    let mut body = response.into_body();
    let mut text = String::new();
    if cancels {
        text += &read_chunk(&mut body).await.ok().flatten().unwrap_or_default();
        return (End::Left, if own { text } else { empty }, None);
    }
    loop {
        match read_chunk(&mut body).await {
            Ok(Some(chunk)) => text += &chunk,
            Ok(None) => break,
            Err(()) => {
                let part = if own && status < 300 { text } else { empty };
                return (End::Broken, part, None);
            }
        }
    }
    let whole = text == call.expected_body();
    let part = if own && status < 300 { text } else { empty };
    (End::Answered { status, own, whole }, part, Some(connection))
}

/// Reads the next chunk of a body, or `None` at its end. Fails if the connection breaks or no chunk
/// arrives in time.
async fn read_chunk(body: &mut Incoming) -> Result<Option<String>, ()> {
    match tokio::time::timeout(REQUEST_TIMEOUT + TIMEOUT_MARGIN, body.frame()).await {
        Ok(Some(Ok(frame))) => {
            let data = frame.into_data().unwrap_or_default();
            Ok(Some(String::from_utf8_lossy(&data).into_owned()))
        }
        Ok(None) => Ok(None),
        Ok(Some(Err(_))) | Err(_) => Err(()),
    }
}
