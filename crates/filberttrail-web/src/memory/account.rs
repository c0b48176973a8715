//! The state of one part of a budget.

use crate::crowd::{Ledger, Shortage};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Releases the memory of an evicted body.
pub(super) type Eviction = Box<dyn Fn() + Send + Sync>;

/// The listed bodies of a part.
#[derive(Default)]
pub(super) struct Bodies {
    pub ledger: Ledger,
    pub evictions: HashMap<u64, Eviction>,
    pub shortage: Shortage,
}

/// One part of a budget. Its bytes are counted without a lock; only the listed bodies need one.
#[derive(Default)]
pub(super) struct Account {
    pub size: usize,
    used: AtomicUsize,
    /// Counters by the index of the cause.
    pub denied: [AtomicU64; 2],
    bodies: Mutex<Bodies>,
}

impl Account {
    pub fn new(size: usize) -> Self {
        Self { size, ..Self::default() }
    }

    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Adds bytes if there are at most `limit` with them.
    pub fn try_add(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Subtracts bytes. Returns `false` if fewer were counted; then none are left.
    pub fn subtract(&self, bytes: usize) -> bool {
        let subtract = |used: usize| Some(used.saturating_sub(bytes));
        let before = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        before.is_ok_and(|before| before >= bytes)
    }

    /// Locks the listed bodies. After a panic under the lock, their state is used as it is.
    pub fn lock(&self) -> MutexGuard<'_, Bodies> {
        self.bodies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
