//! A guard for a request that waits in a queue.

use crate::Hub;
use std::sync::Arc;

/// Removes a waiting request from its queue when dropped.
pub struct QueueGuard {
    /// The hub that owns the queue.
    pub hub: Arc<Hub>,
    /// Name of the service that the queue belongs to.
    pub service: String,
    /// Number of the request in the queue.
    pub ticket: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.hub.remove_waiter(&self.service, self.ticket);
    }
}
