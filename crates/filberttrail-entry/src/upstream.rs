//! One sidecar as an entry sees it: a connection that is opened anew, and the attempts on it.
//!
//! Invariant: an attempt's events are a prefix of its own answer, in order; they end with `End`
//! only if the answer is whole.

use crate::answering::{self, Answering, Event, Sender};
use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_kernel::id::Incarnation;
use filberttrail_protocol::frame::{Failure, Head, Load};
use filberttrail_protocol::link::{Identity, Reader};
use filberttrail_protocol::{Cause, Frame, Link, Offer, Ran};
use filberttrail_relay::{Inbox, Message};
use filberttrail_state::Assembly;
use filberttrail_state::assembly::Arrival;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};

/// The pause between tries to connect.
const RECONNECT: Duration = Duration::from_millis(100);
/// How long a repeatable attempt without an answer waits for its connection to come back.
const PATIENCE_REPEATABLE: Duration = Duration::from_millis(300);
/// How long any other attempt waits for it.
const PATIENCE: Duration = Duration::from_millis(5_000);
/// Bytes of an answer that its caller has not read before it is given up.
const UNREAD_LIMIT: usize = 4 << 20;
/// Counts the connections of this process, for the keeper.
static NEXT_PEER: AtomicU64 = AtomicU64::new(1);

type Frames = mpsc::UnboundedSender<Frame>;

struct Waiter {
    events: Sender,
    assembly: Assembly,
    headed: bool,
    repeatable: bool,
}

#[derive(Default)]
struct State {
    frames: Option<Frames>,
    incarnation: Incarnation,
    lost_at: Option<Duration>,
    load: Load,
    waiters: BTreeMap<u64, Waiter>,
}

/// One sidecar.
pub struct Upstream {
    /// The upstream's declared name.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The sidecar's address.
    pub address: SocketAddr,
    /// A stable hash of the name.
    pub id: u64,
    state: Mutex<State>,
    changed: Arc<Notify>,
    clock: clock::Shared,
    ordered: bool,
}

impl Upstream {
    /// Makes a sidecar that is not connected; `changed` is told whenever there may be room.
    pub fn new(
        name: String,
        data_centre: String,
        address: SocketAddr,
        changed: Arc<Notify>,
        clock: clock::Shared,
    ) -> Self {
        let id = stable_hash(name.as_bytes());
        let state = Mutex::default();
        Self { name, data_centre, address, id, state, changed, clock, ordered: true }
    }

    /// Sets whether chunks are put in order; only tests leave it out.
    pub fn with_order(mut self, ordered: bool) -> Self {
        self.ordered = ordered;
        self
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last reported load and the requests sent since that have not ended, if it takes
    /// work.
    pub fn load(&self) -> Option<(Load, u32)> {
        let state = self.state();
        let usable = state.frames.is_some() && state.load.ready;
        let sent = state.waiters.range(state.load.seen + 1..).count();
        usable.then_some((state.load, sent as u32))
    }

    /// Returns the generation that the sidecar said it applies.
    pub fn generation(&self) -> Option<u64> {
        let state = self.state();
        state.frames.as_ref().map(|_| state.load.generation)
    }

    /// Offers an attempt; `None` if there is no connection, so that nothing was sent.
    pub fn offer(&self, mut offer: Offer) -> Option<Answering> {
        let mut state = self.state();
        let frames = state.frames.clone()?;
        let (events, answering) = answering::channel();
        offer.upstream = self.name.clone();
        offer.incarnation = state.incarnation;
        let (number, repeatable) = (offer.number, offer.repeatable);
        let waiter = Waiter { events, assembly: Assembly::new(), headed: false, repeatable };
        state.waiters.insert(number, waiter);
        // If the connection has just ended, the offer is settled over the next one.
        let _ = frames.send(Frame::Offer(Box::new(offer)));
        Some(answering)
    }

    /// Asks that an attempt is not handed over, if it has not been.
    pub fn withdraw(&self, number: u64) {
        self.send(Frame::Withdraw(number));
    }

    /// Gives an attempt up whose caller has gone.
    pub fn cancel(&self, number: u64) {
        self.send(Frame::Cancel(number));
        self.state().waiters.remove(&number);
    }

    fn send(&self, frame: Frame) {
        if let Some(frames) = &self.state().frames {
            let _ = frames.send(frame);
        }
    }

    /// Keeps connected until `stop` closes.
    pub async fn run(
        self: Arc<Self>,
        me: Identity,
        replicator: Inbox,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut connection = 0;
        loop {
            connection += 1;
            let session = self.session(&me, &replicator, connection);
            tokio::select! {
                () = session => {}
                _ = stop.changed() => break,
            }
            self.give_up_late();
            tokio::time::sleep(RECONNECT).await;
        }
        self.fail_all(|_| true);
    }

    async fn session(&self, me: &Identity, replicator: &Inbox, connection: u64) {
        let stream = tokio::time::timeout(RECONNECT * 5, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = stream else { return };
        let nonce = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
        let (link, welcome) = match Link::connect(stream, me, connection, nonce).await {
            Ok(connected) => connected,
            Err(fault) => {
                log::warn!("{}: {}", self.name, fault.current_context());
                return;
            }
        };
        let (reader, writer) = link.split();
        let (frames, queue) = mpsc::unbounded_channel();
        // An aborted writer closes the socket, so that a paused session cannot send later.
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(writer.run(queue));
        self.connected(frames.clone(), welcome.incarnation);
        let id = NEXT_PEER.fetch_add(1, Ordering::Relaxed);
        let _ = replicator.send(Message::Connected(id, frames));
        let guard = Disconnect { upstream: self, replicator, id };
        let fault = self.read(reader, replicator, id).await;
        log::info!("connection to {} ended: {fault}", self.name);
        drop(guard);
    }

    async fn read(&self, mut reader: Reader, replicator: &Inbox, id: u64) -> String {
        loop {
            match reader.next().await {
                Ok(frames) => frames.into_iter().for_each(|frame| self.take(frame, replicator, id)),
                Err(fault) => return fault.current_context().to_string(),
            }
        }
    }

    fn connected(&self, frames: Frames, incarnation: Incarnation) {
        let mut state = self.state();
        if state.incarnation != incarnation {
            // A new life knows nothing of the attempts of the one before.
            for waiter in std::mem::take(&mut state.waiters).into_values() {
                waiter.events.send(Event::Failed(lost()));
            }
        }
        state.incarnation = incarnation;
        state.frames = Some(frames.clone());
        state.lost_at = None;
        state.load = Load::default();
        for (number, waiter) in &state.waiters {
            let next = if self.ordered { waiter.assembly.next_sequence() } else { 0 };
            let _ = frames.send(Frame::Resume(*number, next));
        }
    }

    fn disconnected(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.frames = None;
        state.lost_at = Some(now);
    }

    /// Gives up attempts whose connection has not come back in time.
    fn give_up_late(&self) {
        let Some(lost_at) = self.state().lost_at else { return };
        let lost = self.clock.now().saturating_sub(lost_at);
        self.fail_all(|waiter| {
            let early = waiter.repeatable && !waiter.headed;
            lost > if early { PATIENCE_REPEATABLE } else { PATIENCE }
        });
    }

    fn fail_all(&self, which: impl Fn(&Waiter) -> bool) {
        self.state().waiters.retain(|_, waiter| {
            let fails = which(waiter);
            if fails {
                waiter.events.send(Event::Failed(lost()));
            }
            !fails
        });
    }

    fn take(&self, frame: Frame, replicator: &Inbox, id: u64) {
        match frame {
            Frame::Head(number, head) => self.take_head(number, head),
            Frame::Chunk(number, sequence, chunk) => self.take_chunk(number, sequence, chunk),
            Frame::End(number, total) => self.take_end(number, total),
            Frame::Failed(number, failure) => self.take_failure(number, failure),
            Frame::Load(load) => self.take_load(load),
            Frame::Manifest(manifest) => {
                let _ = replicator.send(Message::Manifest(Some(id), manifest));
            }
            Frame::Part(digest, part) => {
                let _ = replicator.send(Message::Part(digest, part));
            }
            Frame::Want(digest) => {
                let _ = replicator.send(Message::Want(id, digest));
            }
            Frame::Beat => {}
            other => log::warn!("{} sent a frame out of turn: {other:?}", self.name),
        }
    }

    fn take_head(&self, number: u64, head: Head) {
        if let Some(waiter) = self.state().waiters.get_mut(&number)
            && !waiter.headed
        {
            waiter.headed = true;
            waiter.events.send(Event::Head(head));
        }
    }

    fn take_chunk(&self, number: u64, sequence: u64, chunk: Bytes) {
        let mut state = self.state();
        let Some(waiter) = state.waiters.get_mut(&number) else { return };
        let step = waiter.assembly.receive_chunk(sequence);
        match if self.ordered { step } else { Arrival::InOrder } {
            Arrival::InOrder => {
                waiter.events.send(Event::Chunk(chunk));
                if waiter.events.unread() > UNREAD_LIMIT {
                    let failure = Failure { cause: Cause::CallerSlow, ..lost() };
                    waiter.events.send(Event::Failed(failure));
                    state.waiters.remove(&number);
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

    fn take_end(&self, number: u64, total: u64) {
        let mut state = self.state();
        let Some(waiter) = state.waiters.get(&number) else { return };
        let reply = match waiter.assembly.receive_end(total) {
            Arrival::Gap(next) if self.ordered => Frame::Resume(number, next),
            _ => {
                waiter.events.send(Event::End);
                state.waiters.remove(&number);
                Frame::Acknowledge(number)
            }
        };
        if let Some(frames) = &state.frames {
            let _ = frames.send(reply);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn take_failure(&self, number: u64, failure: Failure) {
        let mut state = self.state();
        if let Some(waiter) = state.waiters.remove(&number) {
            waiter.events.send(Event::Failed(failure));
        }
        if let Some(frames) = &state.frames {
            let _ = frames.send(Frame::Acknowledge(number));
        }
    }

    fn take_load(&self, load: Load) {
        {
            let mut state = self.state();
            state.load = load;
        }
        self.changed.notify_waiters();
    }
}

fn lost() -> Failure {
    Failure { ran: Ran::Unknown, cause: Cause::Lost, retry_after_ms: 1_000 }
}

/// Notes the end of a connection however its session ends.
struct Disconnect<'a> {
    upstream: &'a Upstream,
    replicator: &'a Inbox,
    id: u64,
}

impl Drop for Disconnect<'_> {
    fn drop(&mut self) {
        self.upstream.disconnected();
        let _ = self.replicator.send(Message::Disconnected(self.id));
    }
}
