//! Callers that keep their connections in use until these are gone.

use crate::estate::{Estate, key_text};
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

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// How long it waits beyond that before it gives the connection up.
const LAST_WAIT: Duration = Duration::from_millis(1_500);
/// The longest pause between a caller's requests.
const THINK_MS: u64 = 60;
/// Pause before a caller connects again.
const RECONNECT: Duration = Duration::from_millis(40);
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(1_000);
/// One in so many requests is sent with the key before the present one.
const FORMER_KEY_ONE_IN: u32 = 10;
/// One in so many streams is left midway.
const LEAVE_ONE_IN: u32 = 12;

struct Connection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    life: usize,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends requests one after the other to one gateway until the time is over.
pub async fn call(estate: Arc<Estate>, caller: usize, until: Duration) {
    let gateway = caller % estate.gateways.len();
    let mut connection = None;
    let mut number = 0_u64;
    while estate.now() < until {
        let Some(held) = connection.take().filter(|held: &Connection| !held.sender.is_closed())
        else {
            connection = open(&estate, gateway).await;
            if connection.is_none() {
                tokio::time::sleep(RECONNECT).await;
            }
            continue;
        };
        number += 1;
        let kind = [Kind::Read, Kind::Pay, Kind::Stream][fastrand::usize(..3)];
        let present = estate.key.load(Ordering::Relaxed);
        let former = present > 0 && fastrand::u32(..FORMER_KEY_ONE_IN) == 0;
        let key = if former { present - 1 } else { present };
        let id = format!("call-{caller}-{number}");
        let call = Call { id, kind, key: key_text(key), timeout: PATIENCE };
        let sent = estate.now();
        let life = held.life;
        let (end, part, held) = ask(&call, held).await;
        let ended = estate.now();
        let id = call.id;
        let attempt = Attempt { id, kind, gateway, life, key, sent, ended, end, part };
        estate.evidence().attempts.push(attempt);
        connection = held;
        tokio::time::sleep(Duration::from_millis(fastrand::u64(..THINK_MS))).await;
    }
}

async fn open(estate: &Estate, gateway: usize) -> Option<Connection> {
    let address = estate.gateways[gateway].front.address;
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driving) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move { drop(driving.await) }).abort_handle();
    let life = estate.gateways[gateway].life.load(Ordering::Relaxed);
    Some(Connection { sender, task, life })
}

/// Sends one request; returns its end, what a stream brought, and the connection if it goes on.
async fn ask(call: &Call, mut held: Connection) -> (End, String, Option<Connection>) {
    let nothing = String::new();
    if held.sender.ready().await.is_err() {
        return (End::Unsent, nothing, None);
    }
    let waiting = held.sender.try_send_request(call.request());
    let response = match tokio::time::timeout(PATIENCE + LAST_WAIT, waiting).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            return (if unsent { End::Unsent } else { End::Broken }, nothing, None);
        }
        Err(_) => return (End::Broken, nothing, None),
    };
    let status = response.status().as_u16();
    let own = call.is_answered_by(response.headers());
    let leaves = call.kind == Kind::Stream && fastrand::u32(..LEAVE_ONE_IN) == 0;
    let mut body = response.into_body();
    let mut text = String::new();
    if leaves {
        text += &next(&mut body).await.ok().flatten().unwrap_or_default();
        return (End::Left, if own { text } else { nothing }, None);
    }
    loop {
        match next(&mut body).await {
            Ok(Some(piece)) => text += &piece,
            Ok(None) => break,
            Err(()) => {
                let part = if own && status < 300 { text } else { nothing };
                return (End::Broken, part, None);
            }
        }
    }
    let whole = text == call.expected_body();
    let part = if own && status < 300 { text } else { nothing };
    (End::Answered { status, own, whole }, part, Some(held))
}

/// Reads the next piece of a body; none at its end.
async fn next(body: &mut Incoming) -> Result<Option<String>, ()> {
    match tokio::time::timeout(PATIENCE + LAST_WAIT, body.frame()).await {
        Ok(Some(Ok(frame))) => {
            let data = frame.into_data().unwrap_or_default();
            Ok(Some(String::from_utf8_lossy(&data).into_owned()))
        }
        Ok(None) => Ok(None),
        Ok(Some(Err(_))) | Err(_) => Err(()),
    }
}
