//! The time at which the knowledge of a kind of object was last proven to be current.

use filberttrail_kernel::clock;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The last proof that the knowledge of a kind of object is current. It is shared by the task that
/// follows the kind and by those that receive proofs from other processes.
pub struct Proof {
    clock: clock::Shared,
    proven_at: Mutex<Option<Duration>>,
}

impl Proof {
    /// Creates the state of knowledge that was never proven to be current.
    pub fn new(clock: clock::Shared) -> Arc<Self> {
        Arc::new(Self { clock, proven_at: Mutex::default() })
    }

    /// Returns the current time of the clock by which proofs are dated.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Records that the knowledge was current at a time. Older proofs have no effect.
    pub fn record(&self, at: Duration) {
        let mut proven_at = self.proven_at.lock().unwrap_or_else(PoisonError::into_inner);
        *proven_at = (*proven_at).max(Some(at));
    }

    /// Returns the time at which the knowledge was last proven to be current.
    pub fn proven_at(&self) -> Option<Duration> {
        *self.proven_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
