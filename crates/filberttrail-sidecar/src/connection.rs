//! One connection from an entry, or from the sidecar that holds the group's lease.

use crate::attempt::{self, not_run};
use crate::duty;
use crate::gate::Gate;
use crate::tape::Tape;
use bytes::Bytes;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::Attempt;
use filberttrail_protocol::frame::{Failure, Hello, Load};
use filberttrail_protocol::link::Identity;
use filberttrail_protocol::{Cause, Frame, Link, Offer, Ran};
use filberttrail_relay::{Inbox, Message};
use filberttrail_state::ledger::Withdrawal;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// How often the load is told.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Counts the connections of this process, for the keeper.
static NEXT_PEER: AtomicU64 = AtomicU64::new(1);

type Frames = mpsc::UnboundedSender<Frame>;

/// Serves a connection until it ends.
pub async fn serve(gate: Arc<Gate>, me: Identity, replicator: Inbox, stream: TcpStream) {
    let challenge = Bytes::copy_from_slice(&fastrand::u128(..).to_be_bytes());
    let (link, hello) = match Link::accept(stream, &me, challenge).await {
        Ok(accepted) => accepted,
        Err(fault) => {
            log::warn!("connection refused: {}", fault.current_context());
            return;
        }
    };
    gate.connect(hello.incarnation, hello.connection);
    let (mut reader, writer) = link.split();
    let (frames, queue) = mpsc::unbounded_channel();
    let writing = tokio::spawn(writer.run(queue));
    let seen = Arc::new(AtomicU64::new(0));
    let telling = tokio::spawn(tell_load(gate.clone(), frames.clone(), seen.clone()));
    let id = NEXT_PEER.fetch_add(1, Ordering::Relaxed);
    let _ = replicator.send(Message::Connected(id, frames.clone()));
    let session = Session { gate, hello, frames, replicator: replicator.clone(), id, seen };
    let fault = loop {
        match reader.next().await {
            Ok(batch) => batch.into_iter().for_each(|frame| session.take(frame)),
            Err(fault) => break fault,
        }
    };
    log::debug!("connection of {} ended: {}", session.hello.node, fault.current_context());
    let _ = replicator.send(Message::Disconnected(id));
    telling.abort();
    writing.abort();
}

async fn tell_load(gate: Arc<Gate>, frames: Frames, seen: Arc<AtomicU64>) {
    let mut told = None;
    let mut period = tokio::time::interval(LOAD_PERIOD);
    loop {
        period.tick().await;
        // Offers are counted in before their number is noted, so that none is missed.
        let seen = seen.load(Ordering::Acquire);
        let load = Load { seen, ..gate.load() };
        if told != Some(load) {
            told = Some(load);
            if frames.send(Frame::Load(load)).is_err() {
                return;
            }
        }
    }
}

struct Session {
    gate: Arc<Gate>,
    hello: Hello,
    frames: Frames,
    replicator: Inbox,
    id: u64,
    seen: Arc<AtomicU64>,
}

impl Session {
    fn take(&self, frame: Frame) {
        match frame {
            Frame::Offer(offer) => self.offer(*offer),
            Frame::Resume(number, next) => self.resume(number, next),
            Frame::Withdraw(number) => self.withdraw(number),
            Frame::Cancel(number) => self.gate.cancel(self.attempt(number)),
            Frame::Acknowledge(number) => self.gate.acknowledge(self.attempt(number)),
            Frame::Manifest(manifest) => self.tell(Message::Manifest(Some(self.id), manifest)),
            Frame::Part(digest, part) => self.tell(Message::Part(digest, part)),
            Frame::Want(digest) => self.tell(Message::Want(self.id, digest)),
            Frame::Stage(version, map) => self.obey(duty::Order::Stage(version, map)),
            Frame::Activate(version) => self.obey(duty::Order::Activate(version)),
            Frame::Beat => {}
            other => log::warn!("{} sent a frame out of turn: {other:?}", self.hello.node),
        }
    }

    fn attempt(&self, number: u64) -> Attempt {
        Attempt { owner: self.hello.incarnation, number }
    }

    fn tell(&self, message: Message) {
        let _ = self.replicator.send(message);
    }

    fn obey(&self, order: duty::Order) {
        let (gate, frames) = (self.gate.clone(), self.frames.clone());
        tokio::spawn(async move {
            if let Some(answer) = duty::obey(&gate, order).await {
                let _ = frames.send(answer);
            }
        });
    }

    fn offer(&self, offer: Offer) {
        let number = offer.number;
        self.decide(offer);
        self.seen.fetch_max(number, Ordering::Release);
    }

    fn decide(&self, offer: Offer) {
        let number = offer.number;
        if let Err(cause) = self.accept(offer) {
            self.gate.metrics.attempts.with_label_values(&[&cause.to_string()]).inc();
            let _ = self.frames.send(Frame::Failed(number, not_run(cause)));
        }
    }

    fn accept(&self, offer: Offer) -> std::result::Result<(), Cause> {
        let gate = &self.gate;
        if offer.upstream != gate.settings.name || offer.incarnation != gate.incarnation {
            return Err(Cause::Misdirected);
        }
        let attempt = self.attempt(offer.number);
        let tape = Arc::new(Tape::new(offer.number, self.frames.clone()));
        if !gate.offer(attempt, self.hello.connection, tape.clone())? {
            return Ok(());
        }
        let repeatable = offer.repeatable;
        let task = tokio::spawn(attempt::run(gate.clone(), attempt, offer, tape));
        if repeatable {
            gate.allow_stop(attempt, task.abort_handle());
        }
        Ok(())
    }

    fn resume(&self, number: u64, next: u64) {
        let attempt = self.attempt(number);
        match self.gate.answer(attempt) {
            Some(tape) => tape.attach(self.frames.clone(), next),
            None => self.settle(number),
        }
    }

    fn withdraw(&self, number: u64) {
        self.settle(number);
    }

    /// Withdraws what was not handed over; goes on with the answer of what was.
    fn settle(&self, number: u64) {
        let (settled, tape) = self.gate.withdraw(self.attempt(number));
        let failure = match (settled, tape) {
            (Withdrawal::NotRun, _) => not_run(Cause::Withdrawn),
            (_, Some(tape)) => {
                tape.attach(self.frames.clone(), 0);
                return;
            }
            (_, None) => Failure { ran: Ran::Unknown, cause: Cause::Lost, retry_after_ms: 1_000 },
        };
        let _ = self.frames.send(Frame::Failed(number, failure));
    }
}

/// Accepts connections until the task is aborted.
pub async fn accept(
    gate: Arc<Gate>,
    me: Identity,
    replicator: Inbox,
    listener: tokio::net::TcpListener,
) -> Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(gate.clone(), me.clone(), replicator.clone(), stream));
            }
            Err(fault) => {
                log::warn!("cannot accept a connection: {fault}; raise the limit of open files");
                tokio::time::sleep(LOAD_PERIOD).await;
            }
        }
    }
}
