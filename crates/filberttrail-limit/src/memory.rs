//! Memory that many messages share, such as the bodies that an entry reads.
//!
//! Load pattern: a crowd of peers sends large messages that stop just short of their end. The first
//! half of the memory is given in the order of the requests; the second half only to messages that
//! are smaller than an equal share of it. An ordinary message, which is small, thus finds room while
//! a crowd holds the first half.

use crate::Holding;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Memory with a limit; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    limit: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of all holdings.
    held: usize,
    /// Number of holdings with any bytes.
    holders: usize,
}

impl Memory {
    /// Creates memory of this many bytes, none of which is held.
    pub fn new(limit: usize) -> Self {
        Self { limit, state: Arc::default() }
    }

    /// Creates memory without a limit, for tests and for peers that are trusted.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns a holding without any bytes.
    pub fn hold(&self) -> Holding {
        Holding::new(self.clone())
    }

    /// Returns the bytes of all holdings.
    pub fn held(&self) -> usize {
        self.state().held
    }

    /// Adds bytes to a holding that has `own` bytes; returns whether there was room.
    pub(crate) fn take(&self, own: usize, more: usize) -> bool {
        let mut state = self.state();
        let holders = state.holders + usize::from(own == 0);
        let held = state.held.saturating_add(more);
        let own_share = self.limit / 2 / holders.max(1);
        let is_small = held <= self.limit && own.saturating_add(more) <= own_share;
        let has_room = held <= self.limit / 2 || is_small;
        if has_room && more > 0 {
            *state = State { held, holders };
        }
        has_room
    }

    /// Returns bytes of a holding that has `own` bytes before.
    pub(crate) fn give_back(&self, own: usize, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let mut state = self.state();
        state.held = state.held.saturating_sub(bytes);
        if own <= bytes {
            state.holders = state.holders.saturating_sub(1);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
