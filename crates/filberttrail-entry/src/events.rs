//! A channel for the events of one attempt, from the sidecar connection to the caller's response.

use bytes::Bytes;
use filberttrail_protocol::frame::{Failure, Head};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

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

/// The sending half, held by the sidecar connection.
#[derive(Debug)]
pub struct Sender {
    events: mpsc::UnboundedSender<Event>,
    unread: Arc<AtomicUsize>,
}

/// The receiving half, held by the caller's request.
#[derive(Debug)]
pub struct Receiver {
    events: mpsc::UnboundedReceiver<Event>,
    unread: Arc<AtomicUsize>,
}

/// Creates an unbounded channel for the events of one attempt.
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unread = Arc::new(AtomicUsize::new(0));
    (Sender { events: sender, unread: unread.clone() }, Receiver { events: receiver, unread })
}

impl Sender {
    /// Sends an event; does nothing if the receiver has been dropped.
    pub fn send(&self, event: Event) {
        if let Event::Chunk(chunk) = &event {
            self.unread.fetch_add(chunk.len(), Ordering::Relaxed);
        }
        let _ = self.events.send(event);
    }

    /// Returns the size of the chunks that have not been received yet, in bytes.
    pub fn unread(&self) -> usize {
        self.unread.load(Ordering::Relaxed)
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
            self.unread.fetch_sub(chunk.len(), Ordering::Relaxed);
        }
        Poll::Ready(event)
    }
}
