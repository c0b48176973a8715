//! Counts events in a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

/// The times of the events within a sliding window.
#[derive(Debug, Clone)]
pub struct Window {
    span: Duration,
    timestamps: VecDeque<Duration>,
}

impl Window {
    /// Creates an empty window that covers `span`.
    pub fn new(span: Duration) -> Self {
        Self { span, timestamps: VecDeque::new() }
    }

    /// Records an event at `now`.
    pub fn record(&mut self, now: Duration) {
        self.remove_expired(now);
        self.timestamps.push_back(now);
    }

    /// Returns the number of events within the span that ends at `now`.
    pub fn count(&mut self, now: Duration) -> usize {
        self.remove_expired(now);
        self.timestamps.len()
    }

    /// Returns the time from which fewer than `limit` events are counted: `now` or before if it is so
    /// already. `limit` is at least 1.
    pub fn opens_at(&mut self, now: Duration, limit: usize) -> Duration {
        self.remove_expired(now);
        let blocking = self.timestamps.len().checked_sub(limit);
        blocking.map_or(Duration::ZERO, |index| self.timestamps[index] + self.span)
    }

    /// Returns the length of the window.
    pub fn span(&self) -> Duration {
        self.span
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.timestamps.front().is_some_and(|time| *time + self.span < now) {
            self.timestamps.pop_front();
        }
    }
}
