//! A listed body, whose charge ends when its last holder drops it.

use crate::memory::{Budget, Part};
use std::fmt;

/// A body that a budget lists. It is removed from the list when this is dropped.
pub struct Hold {
    budget: Budget,
    part: Part,
    id: u64,
}

impl Hold {
    /// Wraps the number of a body that is listed already.
    pub(super) fn new(budget: Budget, part: Part, id: u64) -> Self {
        Self { budget, part, id }
    }

    /// Changes the number of bytes that the body holds. If the part has no room for them, another body
    /// gives way. Returns `false` if this body gives way, or has done so before.
    pub(super) fn resize(&self, bytes: usize) -> bool {
        self.budget.resize(self.part, self.id, bytes)
    }

    /// Excludes the body from eviction. Returns `false` if it was evicted before.
    pub(super) fn pin(&self) -> bool {
        self.budget.pin(self.part, self.id)
    }

    /// Sets what evicts the body from now on. It runs at once if the body was evicted before.
    pub fn on_evict(&self, evict: impl Fn() + Send + Sync + 'static) {
        self.budget.set_eviction(self.part, self.id, Box::new(evict));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.budget.remove(self.part, self.id);
    }
}

impl fmt::Debug for Hold {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Hold").field("part", &self.part).field("id", &self.id).finish()
    }
}
