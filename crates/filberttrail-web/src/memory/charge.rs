//! A number of bytes that is charged to a budget.

use crate::memory::{Budget, Part};

/// Bytes that are charged to a part of a budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    part: Part,
    bytes: usize,
}

impl Charge {
    /// Wraps bytes that are charged already.
    pub(super) fn new(budget: Budget, part: Part, bytes: usize) -> Self {
        Self { budget, part, bytes }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.release(self.part, self.bytes);
    }
}
