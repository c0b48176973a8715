//! Serves connections from entries, and from the sidecar that holds the group's lease.

use crate::attempt::{self, not_run};
use crate::buffer::Buffer;
use crate::context::Context;
use crate::coordinator;
use crate::handshakes::Handshakes;
use crate::trial::Trial;
use bytes::Bytes;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::Attempt;
use filberttrail_protocol::frame::{Failure, Hello, Load};
use filberttrail_protocol::link::Identity;
use filberttrail_protocol::{Cause, Frame, Link, Offer, Ran, Stream};
use filberttrail_relay::{Inbox, Message};
use filberttrail_state::ledger::Withdrawal;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};

/// Interval at which a changed load is sent, and delay after a failure to accept a connection.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// The next connection id, unique within this process, which identifies a peer to the replicator.
static NEXT_PEER_ID: AtomicU64 = AtomicU64::new(1);

/// Sends frames to the task that writes them to the connection.
type FrameSender = mpsc::UnboundedSender<Frame>;

/// Share of the connections whose peers may not have proved the secret yet: one in this many.
const HANDSHAKE_SHARE: usize = 4;
/// Bytes that an offer takes besides its body: its headers, which an entry limits to 16 KiB by default
/// and which usually have a few hundred bytes.
const OFFER_OVERHEAD: usize = 4_096;

/// Authenticates a connection. Returns `None` if the peer does not prove the secret.
async fn authenticate(
    context: &Context,
    identity: &Identity,
    stream: TcpStream,
) -> Option<(Link, Hello)> {
    let challenge = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
    let stream = Stream::new(stream, &context.messages);
    let accepted = Link::accept(stream, identity, challenge).await;
    accepted.inspect_err(|error| log::warn!("connection refused: {}", error.current_context())).ok()
}

/// Serves an authenticated connection until it is closed.
async fn serve(context: Arc<Context>, replicator: Inbox, link: Link, hello: Hello) {
    context.register_connection(hello.incarnation, hello.connection);
    let (mut reader, writer) = link.split();
    let (frames, queue) = mpsc::unbounded_channel();
    let writing = tokio::spawn(writer.run(queue));
    let seen = Arc::new(AtomicU64::new(0));
    let publishing = tokio::spawn(publish_load(context.clone(), frames.clone(), seen.clone()));
    let id = NEXT_PEER_ID.fetch_add(1, Ordering::Relaxed);
    let _ = replicator.send(Message::Connected(id, frames.clone()));
    let session = Session { context, hello, frames, replicator: replicator.clone(), id, seen };
    let error = loop {
        match reader.next().await {
            Ok(batch) => batch.into_iter().for_each(|frame| session.handle_frame(frame)),
            Err(error) => break error,
        }
    };
    log::debug!("connection of {} ended: {}", session.hello.node, error.current_context());
    let _ = replicator.send(Message::Disconnected(id));
    publishing.abort();
    writing.abort();
}

async fn publish_load(context: Arc<Context>, frames: FrameSender, seen: Arc<AtomicU64>) {
    let mut published = None;
    let mut period = tokio::time::interval(LOAD_PERIOD);
    loop {
        period.tick().await;
        // Read `seen` before the load: an offer changes the load before it updates `seen`, so the
        // load includes all offers up to `seen`.
        let seen = seen.load(Ordering::Acquire);
        let load = Load { seen, ..context.load() };
        if published != Some(load) {
            published = Some(load);
            if frames.send(Frame::Load(load)).is_err() {
                return;
            }
        }
    }
}

struct Session {
    context: Arc<Context>,
    hello: Hello,
    frames: FrameSender,
    replicator: Inbox,
    id: u64,
    seen: Arc<AtomicU64>,
}

impl Session {
    fn handle_frame(&self, frame: Frame) {
        match frame {
            Frame::Offer(offer) => self.handle_offer(*offer),
            Frame::Resume(number, next) => self.resume(number, next),
            Frame::Withdraw(number) => self.withdraw(number),
            Frame::Cancel(number) => self.context.cancel(self.attempt(number)),
            Frame::Acknowledge(number) => self.context.acknowledge(self.attempt(number)),
            Frame::Manifest(manifest) => self.forward(Message::Manifest(Some(self.id), manifest)),
            Frame::Part(digest, part) => self.forward(Message::Part(digest, part)),
            Frame::Want(digest) => self.forward(Message::Want(self.id, digest)),
            Frame::Blame(report) => self.forward(Message::Blame(report)),
            Frame::Stage(version, map) => self.apply_order(coordinator::Order::Stage(version, map)),
            Frame::Activate(version) => self.apply_order(coordinator::Order::Activate(version)),
            Frame::Beat => {}
            other => log::warn!("{} sent an unexpected frame: {other:?}", self.hello.node),
        }
    }

    fn attempt(&self, number: u64) -> Attempt {
        Attempt { owner: self.hello.incarnation, number }
    }

    fn forward(&self, message: Message) {
        let _ = self.replicator.send(message);
    }

    fn apply_order(&self, order: coordinator::Order) {
        let (context, frames) = (self.context.clone(), self.frames.clone());
        tokio::spawn(async move {
            if let Some(response) = coordinator::apply_order(&context, order).await {
                let _ = frames.send(response);
            }
        });
    }

    fn handle_offer(&self, offer: Offer) {
        let number = offer.number;
        self.accept_or_refuse(offer);
        self.seen.fetch_max(number, Ordering::Release);
    }

    fn accept_or_refuse(&self, offer: Offer) {
        let number = offer.number;
        if let Err(cause) = self.start_attempt(offer) {
            self.context.metrics.attempts.with_label_values(&[&cause.to_string()]).inc();
            let _ = self.frames.send(Frame::Failed(number, not_run(cause)));
        }
    }

    fn start_attempt(&self, offer: Offer) -> std::result::Result<(), Cause> {
        let context = &self.context;
        if offer.upstream != context.settings.name || offer.incarnation != context.incarnation {
            return Err(Cause::Misdirected);
        }
        let attempt = self.attempt(offer.number);
        let holding = context.responses.hold();
        let buffer = Arc::new(Buffer::new(offer.number, self.frames.clone(), holding));
        let mut memory = context.offers.hold();
        let blamed = match memory.grow(offer.body.len() + OFFER_OVERHEAD) {
            true => Trial::check(context, &offer).err(),
            false => Some(Cause::Full),
        };
        if !context.offer(attempt, self.hello.connection, buffer.clone(), blamed)? {
            return Ok(());
        }
        let repeatable = offer.repeatable;
        let running = attempt::run(context.clone(), attempt, offer, buffer);
        let task = tokio::spawn(async move {
            running.await;
            drop(memory);
        });
        if repeatable {
            context.set_abort_handle(attempt, task.abort_handle());
        }
        Ok(())
    }

    fn resume(&self, number: u64, next: u64) {
        let attempt = self.attempt(number);
        match self.context.response_buffer(attempt) {
            Some(buffer) => buffer.attach(self.frames.clone(), next),
            None => self.withdraw_or_resend(number),
        }
    }

    fn withdraw(&self, number: u64) {
        self.withdraw_or_resend(number);
    }

    /// Withdraws an attempt that was not handed over yet. For one that was, sends its response from
    /// the start.
    fn withdraw_or_resend(&self, number: u64) {
        let (withdrawal, buffer) = self.context.withdraw(self.attempt(number));
        let failure = match (withdrawal, buffer) {
            (Withdrawal::NotRun, _) => not_run(Cause::Withdrawn),
            (_, Some(buffer)) => {
                buffer.attach(self.frames.clone(), 0);
                return;
            }
            (_, None) => Failure { ran: Ran::Unknown, cause: Cause::Lost, retry_after_ms: 1_000 },
        };
        let _ = self.frames.send(Frame::Failed(number, failure));
    }
}

/// Accepts connections until the task is aborted.
pub async fn accept(
    context: Arc<Context>,
    identity: Identity,
    replicator: Inbox,
    listener: tokio::net::TcpListener,
) -> Result<()> {
    let connections = context.settings.connections;
    let unproved = (connections / HANDSHAKE_SHARE).max(1);
    let mut handshakes = Handshakes::new(unproved);
    let unproved = Arc::new(Semaphore::new(unproved));
    let places = Arc::new(Semaphore::new(connections - connections / HANDSHAKE_SHARE));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                handshakes.make_room();
                // A handshake that was ended has its socket until its task is dropped.
                let Ok(handshake_place) = unproved.clone().acquire_owned().await else { continue };
                let (context, identity) = (context.clone(), identity.clone());
                let (replicator, places) = (replicator.clone(), places.clone());
                let handshake = tokio::spawn(async move {
                    let _handshake_place = handshake_place;
                    let Some((link, hello)) = authenticate(&context, &identity, stream).await
                    else {
                        return;
                    };
                    let Ok(place) = places.try_acquire_owned() else {
                        log::warn!("connection of {} refused: raise --connections", hello.node);
                        return;
                    };
                    tokio::spawn(async move {
                        serve(context, replicator, link, hello).await;
                        drop(place);
                    });
                });
                handshakes.add(handshake.abort_handle());
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}; raise the limit of open files");
                tokio::time::sleep(LOAD_PERIOD).await;
            }
        }
    }
}
