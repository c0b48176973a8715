//! A body that holds memory.

use std::sync::Arc;
use std::time::Duration;

/// The memory that one body holds, and for how long it has held it.
#[derive(Debug, Clone)]
pub struct Holder {
    /// The team that the body belongs to.
    pub owner: Arc<str>,
    /// Number of bytes that the body holds.
    pub bytes: usize,
    /// Whether the body can no longer be evicted.
    pub pinned: bool,
    /// Byte-seconds up to `changed_at`.
    occupied: f64,
    changed_at: Duration,
}

impl Holder {
    /// Creates a holder of no bytes.
    pub fn new(owner: &str, now: Duration) -> Self {
        Self { owner: owner.into(), bytes: 0, pinned: false, occupied: 0.0, changed_at: now }
    }

    /// Changes the number of bytes.
    pub fn set_bytes(&mut self, bytes: usize, now: Duration) {
        self.occupied = self.occupied(now);
        self.changed_at = now;
        self.bytes = bytes;
    }

    /// Returns the byte-seconds up to now.
    pub fn occupied(&self, now: Duration) -> f64 {
        self.occupied + self.bytes as f64 * now.saturating_sub(self.changed_at).as_secs_f64()
    }
}
