//! The state of one connection, as the choice of the one to close needs it.

use crate::memory::{Budget, Part};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// The value of `idle_since` while a request is in progress.
const BUSY: u64 = u64::MAX;

/// An open connection.
pub(super) struct Seat {
    pub budget: Budget,
    /// Time in milliseconds since which the connection is idle or receives a head, or `BUSY`.
    idle_since: AtomicU64,
    /// Whether a write is pending.
    writing: AtomicBool,
    /// Whether the peer has sent a part of a message that was not read whole, as far as is known.
    unfinished: AtomicBool,
    /// Whether the connection has to be closed even if it is busy.
    forced: AtomicBool,
    closing: Notify,
    /// Called when the connection becomes idle.
    on_idle: Box<dyn Fn() + Send + Sync>,
}

impl Seat {
    /// Creates the state of a new connection.
    pub fn new(budget: Budget, on_idle: impl Fn() + Send + Sync + 'static) -> Self {
        let now = budget.now().as_millis() as u64;
        Self {
            budget,
            idle_since: AtomicU64::new(now),
            writing: AtomicBool::new(false),
            unfinished: AtomicBool::new(false),
            forced: AtomicBool::new(false),
            closing: Notify::new(),
            on_idle: Box::new(on_idle),
        }
    }

    /// Records that a head was read. `has_body` tells whether a body follows that was not read whole.
    pub fn start_request(&self, has_body: bool) {
        self.idle_since.store(BUSY, Ordering::Relaxed);
        self.unfinished.store(has_body, Ordering::Relaxed);
    }

    /// Records that the response was passed to the HTTP library whole. After a refusal, the peer may
    /// still send the rest of its request.
    pub fn end_request(&self, refused: bool) {
        if !refused {
            self.unfinished.store(false, Ordering::Relaxed);
        }
        self.idle_since.store(self.budget.now().as_millis() as u64, Ordering::Relaxed);
        (self.on_idle)();
    }

    /// Returns whether more than half of the memory for connections is used.
    pub fn is_crowded(&self) -> bool {
        self.budget.used(Part::Connections) > self.budget.size(Part::Connections) / 2
    }

    /// Records that bytes were read.
    pub fn record_read(&self) {
        self.unfinished.store(true, Ordering::Relaxed);
    }

    /// Records whether a write is pending.
    pub fn set_writing(&self, writing: bool) {
        self.writing.store(writing, Ordering::Relaxed);
    }

    /// Returns whether the peer may be sending the rest of a message that will not be read.
    pub fn is_unfinished(&self) -> bool {
        self.unfinished.load(Ordering::Relaxed)
    }

    /// Returns the time since which the connection has had no request in progress.
    pub fn idle_since(&self) -> Option<Duration> {
        let since = self.idle_since.load(Ordering::Relaxed);
        let idle = since != BUSY && !self.writing.load(Ordering::Relaxed);
        idle.then(|| Duration::from_millis(since))
    }

    /// Asks the connection to close unless a request is in progress, or also then if `forced`.
    pub fn close(&self, forced: bool) {
        self.forced.fetch_or(forced, Ordering::Relaxed);
        self.closing.notify_one();
    }

    /// Waits until the connection has to close.
    pub async fn closed(&self) {
        loop {
            self.closing.notified().await;
            if self.forced.load(Ordering::Relaxed) || self.idle_since().is_some() {
                return;
            }
        }
    }
}
