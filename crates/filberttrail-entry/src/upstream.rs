//! The entry's connection to one sidecar, which is reopened after failures, and its attempts.
//!
//! Invariant: the events of an attempt carry the response to that attempt from its start, in order,
//! with no part lost or duplicated. They end with `End` only if the response is complete.

use crate::disconnect::{DisconnectGuard, connection_lost};
use crate::events::{self, Event, Receiver};
use crate::pending_attempt::PendingAttempt;
use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_kernel::id::Incarnation;
use filberttrail_limit::Memory;
use filberttrail_protocol::frame::{Failure, Head, Load};
use filberttrail_protocol::link::{Identity, Reader};
use filberttrail_protocol::{Cause, Frame, Link, Offer, Stream};
use filberttrail_relay::{Inbox, Message};
use filberttrail_state::assembly::Arrival;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};

/// The delay between the end of a connection, or a failure to connect, and the next try.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// How long a repeatable attempt that has no response head waits for the connection to be restored.
/// The entry can retry such an attempt, so it fails sooner than others.
///
/// This timeout and the next one are checked only after each try to connect, so an attempt can wait
/// longer, by the duration of one try and the delay before it.
const RECONNECT_TIMEOUT_REPEATABLE: Duration = Duration::from_millis(300);
/// How long any other attempt waits for the connection to be restored.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The maximum number of bytes of a response that wait for the caller to read them. An attempt that
/// exceeds it is cancelled.
const UNREAD_LIMIT: usize = 4 << 20;
/// The next connection id. Ids are unique in this process, so that the replicator of the relay
/// crate can tell its connections apart. They are not sent to sidecars.
static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(1);

/// Sends frames to the task that writes them to the connection.
type FrameSender = mpsc::UnboundedSender<Frame>;

/// The state of the connection.
#[derive(Default)]
struct State {
    /// Sends frames to the sidecar; `None` while there is no connection.
    frames: Option<FrameSender>,
    /// The sidecar's incarnation on the last connection.
    incarnation: Incarnation,
    /// The time at which the last connection ended; `None` while there is one and before the first
    /// one.
    lost_at: Option<Duration>,
    /// The load that the sidecar last reported on the last connection.
    load: Load,
    /// The attempts that have not ended, by attempt number.
    pending: BTreeMap<u64, PendingAttempt>,
}

/// The connection to one sidecar.
pub struct Upstream {
    /// The upstream's declared name.
    pub name: String,
    /// The name of the upstream's data centre.
    pub data_centre: String,
    /// The sidecar's address.
    pub address: SocketAddr,
    /// A stable hash of the name.
    pub id: u64,
    state: Mutex<State>,
    changed: Arc<Notify>,
    clock: clock::Shared,
    ordered: bool,
    responses: Memory,
    messages: Memory,
}

impl Upstream {
    /// Creates a connection that is not open yet.
    ///
    /// `changed` is notified when the sidecar reports its load and when a response is complete,
    /// because the upstream may then have free capacity. It is not notified when an attempt fails
    /// or the connection opens or closes.
    pub fn new(
        name: String,
        data_centre: String,
        address: SocketAddr,
        changed: Arc<Notify>,
        clock: clock::Shared,
    ) -> Self {
        let id = stable_hash(name.as_bytes());
        let state = Mutex::default();
        Self {
            name,
            data_centre,
            address,
            id,
            state,
            changed,
            clock,
            ordered: true,
            responses: Memory::unlimited(),
            messages: Memory::unlimited(),
        }
    }

    /// Sets the memory for responses that callers have not read, and for messages that are being
    /// received.
    pub fn with_memory(self, responses: Memory, messages: Memory) -> Self {
        Self { responses, messages, ..self }
    }

    /// Sets whether chunks that are out of order are dropped and requested again; disabled only in
    /// tests.
    pub fn with_order(mut self, ordered: bool) -> Self {
        self.ordered = ordered;
        self
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last reported load and the number of pending requests sent since that report.
    ///
    /// Returns `None` if the sidecar is not connected or not ready.
    pub fn load(&self) -> Option<(Load, u32)> {
        let state = self.state();
        let usable = state.frames.is_some() && state.load.ready;
        let sent = state.pending.range(state.load.seen + 1..).count();
        usable.then_some((state.load, sent as u32))
    }

    /// Returns the generation of the configuration that the sidecar last reported, or `None` if it
    /// is not connected.
    pub fn generation(&self) -> Option<u64> {
        let state = self.state();
        state.frames.as_ref().map(|_| state.load.generation)
    }

    /// Sends an attempt to the sidecar.
    ///
    /// Returns `None`, with nothing sent, if there is no connection.
    pub fn offer(&self, mut offer: Offer) -> Option<Receiver> {
        let mut state = self.state();
        let frames = state.frames.clone()?;
        let (events, receiver) = events::channel(self.responses.hold());
        offer.upstream = self.name.clone();
        offer.incarnation = state.incarnation;
        let (number, repeatable) = (offer.number, offer.repeatable);
        state.pending.insert(number, PendingAttempt::new(events, repeatable));
        // If the connection has just closed, the offer is lost and not sent again. On the next
        // connection, `Resume` is sent for it, and the sidecar reports the attempt as not run.
        let _ = frames.send(Frame::Offer(Box::new(offer)));
        Some(receiver)
    }

    /// Asks the sidecar not to run an attempt if it has not started yet. The attempt stays pending,
    /// because the sidecar responds: with a failure, or with the response if it did start.
    pub fn withdraw(&self, number: u64) {
        self.send(Frame::Withdraw(number));
    }

    /// Cancels an attempt whose response is no longer wanted, because its caller has disconnected
    /// or its timeout is over. The attempt is no longer pending; frames that still arrive for it
    /// are ignored.
    pub fn cancel(&self, number: u64) {
        self.send(Frame::Cancel(number));
        self.state().pending.remove(&number);
    }

    fn send(&self, frame: Frame) {
        if let Some(frames) = &self.state().frames {
            let _ = frames.send(frame);
        }
    }

    /// Keeps the connection open until `stop` changes or closes; then fails all pending attempts.
    pub async fn run(
        self: Arc<Self>,
        identity: Identity,
        replicator: Inbox,
        mut stop: watch::Receiver<bool>,
    ) {
        // Counts the tries to connect to this sidecar. The number is sent in the handshake, so that
        // the sidecar can refuse offers that arrive over an older connection.
        let mut connection_number = 0;
        loop {
            connection_number += 1;
            let running = self.run_connection(&identity, &replicator, connection_number);
            tokio::select! {
                () = running => {}
                _ = stop.changed() => break,
            }
            self.fail_expired();
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
        self.fail_matching(|_| true);
    }

    async fn run_connection(
        &self,
        identity: &Identity,
        replicator: &Inbox,
        connection_number: u64,
    ) {
        // The timeout for opening a TCP connection is 5 times the delay between tries.
        let stream =
            tokio::time::timeout(RECONNECT_DELAY * 5, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = stream else { return };
        let nonce = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
        let stream = Stream::new(stream, &self.messages);
        let (link, welcome) = match Link::connect(stream, identity, connection_number, nonce).await
        {
            Ok(connected) => connected,
            Err(error) => {
                log::warn!("cannot connect to {}: {}", self.name, error.current_context());
                return;
            }
        };
        let (reader, writer) = link.split();
        let (frames, queue) = mpsc::unbounded_channel();
        // Dropping the task set aborts the writer, which closes the socket. Otherwise a writer that
        // waits for a peer that does not read could send its queued frames later.
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(writer.run(queue));
        self.set_connected(frames.clone(), welcome.incarnation);
        let connection_id = NEXT_CONNECTION_ID.fetch_add(1, Ordering::Relaxed);
        let _ = replicator.send(Message::Connected(connection_id, frames));
        let guard = DisconnectGuard { upstream: self, replicator, connection_id };
        let error = self.read_frames(reader, replicator, connection_id).await;
        log::info!("connection to {} closed: {error}", self.name);
        drop(guard);
    }

    /// Handles received frames until the connection ends; returns the reason for its end.
    async fn read_frames(
        &self,
        mut reader: Reader,
        replicator: &Inbox,
        connection_id: u64,
    ) -> String {
        loop {
            match reader.next().await {
                Ok(frames) => frames
                    .into_iter()
                    .for_each(|frame| self.handle(frame, replicator, connection_id)),
                Err(error) => return error.current_context().to_string(),
            }
        }
    }

    fn set_connected(&self, frames: FrameSender, incarnation: Incarnation) {
        let mut state = self.state();
        if state.incarnation != incarnation {
            // A restarted sidecar has no record of the attempts sent to its previous incarnation.
            for attempt in std::mem::take(&mut state.pending).into_values() {
                attempt.events.send(Event::Failed(connection_lost()));
            }
        }
        state.incarnation = incarnation;
        state.frames = Some(frames.clone());
        state.lost_at = None;
        state.load = Load::default();
        for (number, attempt) in &state.pending {
            let next = if self.ordered { attempt.assembly.next_sequence() } else { 0 };
            let _ = frames.send(Frame::Resume(*number, next));
        }
    }

    /// Records the end of the connection.
    pub(crate) fn set_disconnected(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.frames = None;
        state.lost_at = Some(now);
    }

    /// Fails attempts that have waited too long for the connection to be restored.
    fn fail_expired(&self) {
        let Some(lost_at) = self.state().lost_at else { return };
        let elapsed = self.clock.now().saturating_sub(lost_at);
        self.fail_matching(|attempt| {
            let retry_is_safe = attempt.repeatable && !attempt.has_head;
            elapsed > if retry_is_safe { RECONNECT_TIMEOUT_REPEATABLE } else { RECONNECT_TIMEOUT }
        });
    }

    fn fail_matching(&self, matches: impl Fn(&PendingAttempt) -> bool) {
        self.state().pending.retain(|_, attempt| {
            let fails = matches(attempt);
            if fails {
                attempt.events.send(Event::Failed(connection_lost()));
            }
            !fails
        });
    }

    fn handle(&self, frame: Frame, replicator: &Inbox, connection_id: u64) {
        match frame {
            Frame::Head(number, head) => self.handle_head(number, head),
            Frame::Chunk(number, sequence, chunk) => self.handle_chunk(number, sequence, chunk),
            Frame::End(number, total) => self.handle_end(number, total),
            Frame::Failed(number, failure) => self.handle_failure(number, failure),
            Frame::Load(load) => self.handle_load(load),
            Frame::Manifest(manifest) => {
                let _ = replicator.send(Message::Manifest(Some(connection_id), manifest));
            }
            Frame::Part(digest, part) => {
                let _ = replicator.send(Message::Part(digest, part));
            }
            Frame::Want(digest) => {
                let _ = replicator.send(Message::Want(connection_id, digest));
            }
            Frame::Blame(report) => {
                let _ = replicator.send(Message::Blame(report));
            }
            Frame::Beat => {}
            other => log::warn!("{} sent an unexpected frame: {other:?}", self.name),
        }
    }

    fn handle_head(&self, number: u64, head: Head) {
        if let Some(attempt) = self.state().pending.get_mut(&number)
            && !attempt.has_head
        {
            attempt.has_head = true;
            attempt.events.send(Event::Head(head));
        }
    }

    fn handle_chunk(&self, number: u64, sequence: u64, chunk: Bytes) {
        let mut state = self.state();
        let Some(attempt) = state.pending.get_mut(&number) else { return };
        let arrival = attempt.assembly.receive_chunk(sequence);
        match if self.ordered { arrival } else { Arrival::InOrder } {
            Arrival::InOrder => {
                // The queue of unread events is unbounded, so a slow caller is cut off here.
                let has_memory = attempt.events.send_chunk(chunk);
                if !has_memory || attempt.events.unread() > UNREAD_LIMIT {
                    let failure = Failure { cause: Cause::CallerSlow, ..connection_lost() };
                    attempt.events.send(Event::Failed(failure));
                    state.pending.remove(&number);
                    if let Some(frames) = &state.frames {
                        let _ = frames.send(Frame::Cancel(number));
                    }
                }
            }
            Arrival::Gap(next) => {
                if let Some(frames) = &state.frames {
                    let _ = frames.send(Frame::Resume(number, next));
                }
            }
            Arrival::Duplicate | Arrival::Complete => {}
        }
    }

    fn handle_end(&self, number: u64, total: u64) {
        let mut state = self.state();
        let Some(attempt) = state.pending.get(&number) else { return };
        let reply = match attempt.assembly.receive_end(total) {
            Arrival::Gap(next) if self.ordered => Frame::Resume(number, next),
            _ => {
                attempt.events.send(Event::End);
                state.pending.remove(&number);
                Frame::Acknowledge(number)
            }
        };
        if let Some(frames) = &state.frames {
            let _ = frames.send(reply);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn handle_failure(&self, number: u64, failure: Failure) {
        let mut state = self.state();
        if let Some(attempt) = state.pending.remove(&number) {
            attempt.events.send(Event::Failed(failure));
        }
        if let Some(frames) = &state.frames {
            let _ = frames.send(Frame::Acknowledge(number));
        }
    }

    fn handle_load(&self, load: Load) {
        {
            let mut state = self.state();
            state.load = load;
        }
        self.changed.notify_waiters();
    }
}
