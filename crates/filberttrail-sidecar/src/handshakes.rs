//! The connections whose peers have not proved the secret yet.

use std::collections::VecDeque;
use tokio::task::AbortHandle;

/// The tasks of running handshakes, oldest first, up to a limit.
///
/// Load pattern: strangers open many connections and send nothing. Entries prove the secret within
/// milliseconds, so the oldest handshake is the one that an entry needs least.
pub struct Handshakes {
    limit: usize,
    running: VecDeque<AbortHandle>,
}

impl Handshakes {
    /// Creates an empty list of at most `limit` handshakes.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), running: VecDeque::new() }
    }

    /// Makes room for one more handshake: closes the oldest ones if the limit is reached.
    pub fn make_room(&mut self) {
        self.running.retain(|handshake| !handshake.is_finished());
        while self.running.len() >= self.limit
            && let Some(oldest) = self.running.pop_front()
        {
            oldest.abort();
        }
    }

    /// Adds a handshake that has begun.
    pub fn add(&mut self, handshake: AbortHandle) {
        self.running.push_back(handshake);
    }
}
