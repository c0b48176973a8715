//! The bodies that hold memory of one part, and the choice of the one that gives way.

use crate::crowd::{Holder, Report};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of teams that a report names.
const REPORTED_TEAMS: usize = 3;

/// The bodies that hold memory of one part, by a number that is unique among them.
#[derive(Debug, Default)]
pub struct Ledger {
    holders: HashMap<u64, Holder>,
    next: u64,
}

impl Ledger {
    /// Creates a ledger without bodies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a body of a team that holds nothing yet, and returns its number.
    pub fn insert(&mut self, owner: &str, now: Duration) -> u64 {
        self.next += 1;
        self.holders.insert(self.next, Holder::new(owner, now));
        self.next
    }

    /// Returns a body, unless it was removed.
    pub fn get(&self, id: u64) -> Option<&Holder> {
        self.holders.get(&id)
    }

    /// Changes the number of bytes that a body holds.
    pub fn set_bytes(&mut self, id: u64, bytes: usize, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.set_bytes(bytes, now);
        }
    }

    /// Excludes a body from eviction, and returns whether it is still there.
    pub fn pin(&mut self, id: u64) -> bool {
        let holder = self.holders.get_mut(&id);
        holder.map(|holder| holder.pinned = true).is_some()
    }

    /// Removes a body.
    pub fn remove(&mut self, id: u64) -> Option<Holder> {
        self.holders.remove(&id)
    }

    /// Chooses the body that gives way so that the body `growing` gets `added` more bytes. Returns
    /// `growing` itself if it is the one, and nothing if no body can give way. Without `growing`, the
    /// bytes are for a new body that can't be chosen.
    ///
    /// Among the teams with a body that can be chosen, the one with the most bytes gives way, and of its
    /// bodies the one with the most byte-seconds. So a team that floods the process displaces its own
    /// bodies, and a new body displaces one that has held memory for a long time. Between equals, another
    /// body than the growing one gives way.
    pub fn choose(&self, growing: Option<u64>, added: usize, now: Duration) -> Option<u64> {
        let mut teams: HashMap<&Arc<str>, (usize, bool)> = HashMap::new();
        for (id, holder) in &self.holders {
            let is_growing = growing == Some(*id);
            let (bytes, evictable) = teams.entry(&holder.owner).or_default();
            *bytes += holder.bytes + if is_growing { added } else { 0 };
            *evictable |= !holder.pinned;
        }
        let most = teams.values().filter(|team| team.1).map(|team| team.0).max()?;
        let candidates = self.holders.iter().filter(|(_, holder)| {
            !holder.pinned && teams.get(&holder.owner).is_some_and(|team| team.0 == most)
        });
        let rank = |(id, holder): &(&u64, &Holder)| {
            (holder.occupied(now), growing != Some(**id), holder.bytes, **id)
        };
        let chosen = candidates.max_by(|left, right| {
            let ((left, left_other, left_bytes, left_id), right) = (rank(left), rank(right));
            let others = (left_other, left_bytes, left_id).cmp(&(right.1, right.2, right.3));
            left.total_cmp(&right.0).then(others)
        });
        chosen.map(|(id, _)| *id)
    }

    /// Describes the bodies for the log.
    pub fn report(&self) -> Report {
        let mut teams: HashMap<&Arc<str>, usize> = HashMap::new();
        for holder in self.holders.values() {
            *teams.entry(&holder.owner).or_default() += holder.bytes;
        }
        let mut largest: Vec<(String, usize)> =
            teams.into_iter().map(|(team, bytes)| (team.to_string(), bytes)).collect();
        largest.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        largest.truncate(REPORTED_TEAMS);
        Report { bodies: self.holders.len(), largest }
    }
}
