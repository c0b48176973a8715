//! A channel for the events of one attempt, from the sidecar connection to the caller's response.

use bytes::Bytes;
use filberttrail_limit::Holding;
use filberttrail_protocol::frame::{Failure, Head};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The bytes that a chunk takes besides its own: its allocation and its event in the queue.
const CHUNK_OVERHEAD: usize = 128;

/// An event of an attempt.
#[derive(Debug)]
pub enum Event {
    /// The response head arrived.
    Head(Head),
    /// The next chunk of the response body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The attempt failed; no further event follows.
    Failed(Failure),
}

/// The chunks that have not been received yet.
#[derive(Debug)]
struct Unread {
    bytes: usize,
    holding: Holding,
}

/// The sending half, held by the sidecar connection.
#[derive(Debug)]
pub struct Sender {
    events: mpsc::UnboundedSender<Event>,
    unread: Arc<Mutex<Unread>>,
}

/// The receiving half, held by the caller's request.
#[derive(Debug)]
pub struct Receiver {
    events: mpsc::UnboundedReceiver<Event>,
    unread: Arc<Mutex<Unread>>,
}

/// Creates an unbounded channel for the events of one attempt, whose unread chunks hold memory.
pub fn channel(holding: Holding) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unread = Arc::new(Mutex::new(Unread { bytes: 0, holding }));
    (Sender { events: sender, unread: unread.clone() }, Receiver { events: receiver, unread })
}

fn lock(unread: &Mutex<Unread>) -> MutexGuard<'_, Unread> {
    unread.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Sender {
    /// Sends an event other than a chunk; does nothing if the receiver has been dropped.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Sends a chunk of the response body; does nothing if the receiver has been dropped. Returns
    /// `false` if there is no memory for the chunk, which is dropped then.
    pub fn send_chunk(&self, chunk: Bytes) -> bool {
        let mut unread = lock(&self.unread);
        let has_memory = unread.holding.grow(chunk.len() + CHUNK_OVERHEAD);
        if has_memory {
            unread.bytes += chunk.len();
            let _ = self.events.send(Event::Chunk(chunk));
        }
        has_memory
    }

    /// Returns the size of the chunks that have not been received yet, in bytes.
    pub fn unread(&self) -> usize {
        lock(&self.unread).bytes
    }
}

impl Receiver {
    /// Waits for the next event; returns `None` if the sender has been dropped.
    pub async fn recv(&mut self) -> Option<Event> {
        std::future::poll_fn(|context| self.poll_recv(context)).await
    }

    /// Polls for the next event.
    pub fn poll_recv(&mut self, context: &mut Context<'_>) -> Poll<Option<Event>> {
        let event = ready!(self.events.poll_recv(context));
        if let Some(Event::Chunk(chunk)) = &event {
            let mut unread = lock(&self.unread);
            unread.bytes = unread.bytes.saturating_sub(chunk.len());
            unread.holding.shrink(chunk.len() + CHUNK_OVERHEAD);
        }
        Poll::Ready(event)
    }
}
