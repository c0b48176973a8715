//! A WebSocket connection (RFC 6455) that carries frames.
//!
//! The handshake consists of a challenge from the sidecar, a hello from the connecting peer and a
//! welcome from the sidecar. With the last two, each peer proves that it knows the shared secret.

use crate::codec::{self, BATCH_BYTES, BATCH_LIMIT, MESSAGE_LIMIT};
use crate::frame::{Frame, Hello, Welcome};
use crate::meter::Meter;
use crate::proof;
use crate::stream::{Stream, lock};
use bytes::Bytes;
use filberttrail_kernel::id::Incarnation;
use filberttrail_kernel::{Error, Result};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Interval at which a peer sends a heartbeat if it has no other frames to send.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// A connection is closed if nothing is received for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for a handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long later chunks of responses wait for other frames to share a message with. The first
/// chunk of a response is never delayed.
pub const BATCH_DELAY: Duration = Duration::from_millis(1);
/// Time limit for sending a message, in case the peer does not read.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Size of the buffer into which a connection reads, in bytes. The library's default of 128 KiB, which
/// it touches for each connection, costs a sidecar more than a crowd of connections sends.
const READ_BUFFER_BYTES: usize = 16 << 10;

type Socket = WebSocketStream<Stream>;

/// A connection whose peers have authenticated each other.
pub struct Link {
    sink: SplitSink<Socket, Message>,
    reader: Reader,
}

/// The receiving half of a link.
pub struct Reader {
    stream: SplitStream<Socket>,
    meter: Arc<Mutex<Meter>>,
}

/// The sending half of a link.
pub struct Writer {
    sink: SplitSink<Socket, Message>,
}

/// The identity of a peer.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The name of the entry, or of the upstream of the sidecar.
    pub name: String,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The secret that all entries and sidecars share.
    pub secret: Bytes,
}

impl Link {
    /// Performs the handshake of the connecting peer on a TCP connection to a sidecar.
    ///
    /// `connection` is a number that rises with each connection to the sidecar; `nonce` must not be
    /// reused. Fails with a `frame` error.
    pub async fn connect(
        stream: impl Into<Stream>,
        identity: &Identity,
        connection: u64,
        nonce: Bytes,
    ) -> Result<(Self, Welcome)> {
        let handshake = Self::perform_client_handshake(stream.into(), identity, connection, nonce);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| timeout_error())?
    }

    async fn perform_client_handshake(
        stream: Stream,
        identity: &Identity,
        connection: u64,
        nonce: Bytes,
    ) -> Result<(Self, Welcome)> {
        let meter = stream.meter();
        let url = "ws://sidecar/frames";
        let upgraded =
            tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()))
                .await;
        let (socket, _) = upgraded.map_err(connection_error)?;
        let mut link = Self::new(socket, meter);
        let Frame::Challenge(challenge) = link.next_frame().await? else {
            return Err(unexpected_message("a challenge"));
        };
        let proof =
            proof::compute(&identity.secret, &challenge, &identity.name, identity.incarnation);
        let hello = Hello {
            node: identity.name.clone(),
            incarnation: identity.incarnation,
            connection,
            nonce: nonce.clone(),
            proof,
        };
        link.send(&[Frame::Hello(hello)]).await?;
        let Frame::Welcome(welcome) = link.next_frame().await? else {
            return Err(unexpected_message("a welcome"));
        };
        let expected =
            proof::compute(&identity.secret, &nonce, &welcome.upstream, welcome.incarnation);
        if !proof::verify(&expected, &welcome.proof) {
            return Err(authentication_error(&welcome.upstream));
        }
        lock(&link.reader.meter).prove();
        Ok((link, welcome))
    }

    /// Performs the handshake of a sidecar on an accepted TCP connection.
    ///
    /// `challenge` is a nonce and must not be reused. Fails with a `frame` error.
    pub async fn accept(
        stream: impl Into<Stream>,
        identity: &Identity,
        challenge: Bytes,
    ) -> Result<(Self, Hello)> {
        let handshake = Self::perform_server_handshake(stream.into(), identity, challenge);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| timeout_error())?
    }

    async fn perform_server_handshake(
        stream: Stream,
        identity: &Identity,
        challenge: Bytes,
    ) -> Result<(Self, Hello)> {
        let meter = stream.meter();
        let upgraded =
            tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await;
        let mut link = Self::new(upgraded.map_err(connection_error)?, meter);
        link.send(&[Frame::Challenge(challenge.clone())]).await?;
        let Frame::Hello(hello) = link.next_frame().await? else {
            return Err(unexpected_message("a hello"));
        };
        let expected = proof::compute(&identity.secret, &challenge, &hello.node, hello.incarnation);
        if !proof::verify(&expected, &hello.proof) {
            return Err(authentication_error(&hello.node));
        }
        lock(&link.reader.meter).prove();
        let proof =
            proof::compute(&identity.secret, &hello.nonce, &identity.name, identity.incarnation);
        let welcome =
            Welcome { upstream: identity.name.clone(), incarnation: identity.incarnation, proof };
        link.send(&[Frame::Welcome(welcome)]).await?;
        Ok((link, hello))
    }

    fn new(socket: Socket, meter: Arc<Mutex<Meter>>) -> Self {
        let (sink, stream) = socket.split();
        Self { sink, reader: Reader { stream, meter } }
    }

    /// Splits the link into its receiving and its sending half.
    pub fn split(self) -> (Reader, Writer) {
        (self.reader, Writer { sink: self.sink })
    }

    /// Sends frames immediately, in one message.
    pub async fn send(&mut self, frames: &[Frame]) -> Result<()> {
        let message = Message::Binary(codec::encode(frames)?);
        self.sink.send(message).await.map_err(connection_error)
    }

    /// Receives the frames of the next message, without a time limit.
    pub async fn next(&mut self) -> Result<Vec<Frame>> {
        self.reader.read_frames().await
    }

    async fn next_frame(&mut self) -> Result<Frame> {
        let mut frames = self.reader.read_frames().await?;
        if frames.len() != 1 {
            return Err(unexpected_message("one frame"));
        }
        frames.pop().ok_or_else(|| unexpected_message("one frame"))
    }
}

impl Reader {
    /// Receives the frames of the next message. Fails if none arrives within `IDLE_TIMEOUT`.
    pub async fn next(&mut self) -> Result<Vec<Frame>> {
        match tokio::time::timeout(IDLE_TIMEOUT, self.read_frames()).await {
            Ok(frames) => frames,
            Err(_) => {
                let error = format!("received nothing for {} ms", IDLE_TIMEOUT.as_millis());
                Err(Error::frame("connection", error, "it is reopened").into())
            }
        }
    }
}

impl Reader {
    /// Receives a message, whose memory is returned once it is decoded.
    async fn read_frames(&mut self) -> Result<Vec<Frame>> {
        let frames = read_frames(&mut self.stream).await;
        lock(&self.meter).end_message();
        frames
    }
}

impl Writer {
    /// Sends queued frames, many in one message, and heartbeats. Returns when the queue is closed
    /// or a write fails.
    pub async fn run(mut self, mut frames: mpsc::UnboundedReceiver<Frame>) -> Result<()> {
        let mut batch = Vec::with_capacity(BATCH_LIMIT);
        loop {
            batch.clear();
            match tokio::time::timeout(HEARTBEAT_PERIOD, frames.recv()).await {
                Ok(None) => {
                    let _ = self.sink.close().await;
                    return Ok(());
                }
                Ok(Some(frame)) => {
                    let mut bytes = frame.payload_bytes();
                    batch.push(frame);
                    take_queued(&mut frames, &mut batch, &mut bytes);
                    if batch.iter().all(may_be_delayed) {
                        tokio::time::sleep(BATCH_DELAY).await;
                        take_queued(&mut frames, &mut batch, &mut bytes);
                    }
                }
                Err(_) => batch.push(Frame::Beat),
            }
            self.write(&batch).await?;
        }
    }

    async fn write(&mut self, batch: &[Frame]) -> Result<()> {
        let message = Message::Binary(codec::encode(batch)?);
        match tokio::time::timeout(WRITE_TIMEOUT, self.sink.send(message)).await {
            Ok(sent) => sent.map_err(connection_error),
            Err(_) => Err(timeout_error()),
        }
    }
}

/// Adds queued frames to a batch until it is full. A batch exceeds `BATCH_BYTES` by less than one frame,
/// so that it is not longer than the peer receives.
fn take_queued(
    frames: &mut mpsc::UnboundedReceiver<Frame>,
    batch: &mut Vec<Frame>,
    bytes: &mut usize,
) {
    while batch.len() < BATCH_LIMIT
        && *bytes < BATCH_BYTES
        && let Ok(frame) = frames.try_recv()
    {
        *bytes += frame.payload_bytes();
        batch.push(frame);
    }
}

/// Returns whether a frame may be delayed for a short time to share a message with others.
fn may_be_delayed(frame: &Frame) -> bool {
    matches!(frame, Frame::Chunk(_, sequence, _) if *sequence > 0)
}

async fn read_frames(stream: &mut SplitStream<Socket>) -> Result<Vec<Frame>> {
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(message))) => return codec::decode(&message),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(_))) | None => {
                let help = "it is reopened";
                return Err(Error::frame("connection", "closed by the peer", help).into());
            }
            Some(Ok(_)) => return Err(unexpected_message("a binary message")),
            Some(Err(error)) => return Err(connection_error(error)),
        }
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
        .read_buffer_size(READ_BUFFER_BYTES)
}

type ErrorReport = error_stack::Report<Error>;

fn connection_error(error: tokio_tungstenite::tungstenite::Error) -> ErrorReport {
    Error::frame("connection", error, "it is reopened").into()
}

fn timeout_error() -> ErrorReport {
    let help = "check that the address is a sidecar's and that it is not overloaded";
    Error::frame("connection", "the peer did not respond in time", help).into()
}

fn unexpected_message(expected: &str) -> ErrorReport {
    let help = "run the same release on entries and sidecars";
    Error::frame("handshake", format!("expected {expected}"), help).into()
}

fn authentication_error(name: &str) -> ErrorReport {
    let help = "use the same secret on entries and sidecars";
    Error::frame("handshake", format!("'{name}' does not prove the secret"), help).into()
}
