//! The attempts that were offered to a sidecar, and their state.
//!
//! To hand an attempt over means to send its request to the upstream.
//!
//! Invariants: an attempt is handed over at most once. An attempt that was reported as not run is
//! never handed over afterwards, no matter which messages arrive later or in which order.

use filberttrail_kernel::id::{Attempt, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time that an ended attempt is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of attempts in the ledger. Further offers are refused, because a duplicate of an
/// attempt that is not in the ledger would not be detected.
pub const CAPACITY: usize = 200_000;

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Accepted, but not handed over yet.
    Pending,
    /// Handed over to the upstream; the response is not complete yet.
    Running,
    /// Handed over and ended, by a complete response, a failure or a cancellation.
    Done,
    /// A tombstone: the attempt was not run, and a later offer of it is refused.
    Withdrawn,
}

/// The decision on an offered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The attempt is new and is to be run.
    Accepted,
    /// The attempt was offered before, so the offer is ignored.
    Duplicate,
    /// The attempt was withdrawn before the offer arrived.
    Withdrawn,
    /// The offer arrived over a connection that the entry has since replaced.
    Superseded,
    /// The ledger has reached its capacity.
    Full,
}

/// The state of an attempt after a request to withdraw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Withdrawal {
    /// The attempt was not run and never will be.
    NotRun,
    /// The attempt was handed over and its response is not complete yet.
    Running,
    /// The attempt was handed over and has ended.
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Record {
    phase: Phase,
    changed_at: Duration,
}

/// The attempts that a sidecar keeps, with the newest connection of each entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    connections: BTreeMap<Incarnation, u64>,
    records: BTreeMap<Attempt, Record>,
    capacity: Option<usize>,
}

impl Ledger {
    /// Creates an empty ledger with the default capacity.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum number of attempts.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = Some(capacity);
        self
    }

    /// Records an entry's connection. Offers over earlier connections of the same entry are refused
    /// from now on.
    pub fn register_connection(&mut self, owner: Incarnation, connection: u64) {
        let newest = self.connections.entry(owner).or_default();
        *newest = (*newest).max(connection);
    }

    /// Decides on an offer and records the attempt if it is accepted.
    pub fn offer(&mut self, attempt: Attempt, connection: u64, now: Duration) -> Verdict {
        if let Some(record) = self.records.get(&attempt) {
            return match record.phase {
                Phase::Withdrawn => Verdict::Withdrawn,
                _ => Verdict::Duplicate,
            };
        }
        if self.connections.get(&attempt.owner) != Some(&connection) {
            return Verdict::Superseded;
        }
        if self.records.len() >= self.capacity.unwrap_or(CAPACITY) {
            return Verdict::Full;
        }
        self.set(attempt, Phase::Pending, now);
        Verdict::Accepted
    }

    /// Marks a pending attempt as running and returns `true`; returns `false` for any other
    /// attempt. Must be the last check before the request is sent to the upstream.
    pub fn hand_over(&mut self, attempt: Attempt, now: Duration) -> bool {
        let pending = self.phase(attempt) == Some(Phase::Pending);
        if pending {
            self.set(attempt, Phase::Running, now);
        }
        pending
    }

    /// Withdraws an attempt. If it was not handed over yet, a tombstone is recorded, so that it
    /// never will be.
    pub fn withdraw(&mut self, attempt: Attempt, now: Duration) -> Withdrawal {
        match self.phase(attempt) {
            Some(Phase::Running) => Withdrawal::Running,
            Some(Phase::Done) => Withdrawal::Done,
            Some(Phase::Pending | Phase::Withdrawn) | None => {
                self.set(attempt, Phase::Withdrawn, now);
                Withdrawal::NotRun
            }
        }
    }

    /// Records that an attempt was certainly not run: the sidecar refused it, or the upstream could
    /// not be reached or rejected it before the start.
    pub fn mark_not_run(&mut self, attempt: Attempt, now: Duration) {
        self.set(attempt, Phase::Withdrawn, now);
    }

    /// Records that an attempt has ended.
    pub fn finish(&mut self, attempt: Attempt, now: Duration) {
        self.set(attempt, Phase::Done, now);
    }

    /// Returns the state of an attempt, or `None` if it is not in the ledger.
    pub fn phase(&self, attempt: Attempt) -> Option<Phase> {
        self.records.get(&attempt).map(|record| record.phase)
    }

    /// Returns whether an attempt is accepted and has not ended.
    pub fn is_open(&self, attempt: Attempt) -> bool {
        matches!(self.phase(attempt), Some(Phase::Pending | Phase::Running))
    }

    /// Returns the number of attempts that are accepted and have not ended.
    pub fn open_count(&self) -> usize {
        let open = |record: &&Record| matches!(record.phase, Phase::Pending | Phase::Running);
        self.records.values().filter(open).count()
    }

    /// Removes attempts that ended longer than `RETENTION` ago, and returns them.
    ///
    /// A duplicate offer cannot arrive that late, because its connection would have been replaced
    /// by then.
    pub fn sweep(&mut self, now: Duration) -> Vec<Attempt> {
        let old = |record: &Record| {
            let ended = matches!(record.phase, Phase::Done | Phase::Withdrawn);
            ended && now.saturating_sub(record.changed_at) > RETENTION
        };
        let forgotten: Vec<Attempt> =
            self.records.iter().filter(|(_, record)| old(record)).map(|(id, _)| *id).collect();
        for attempt in &forgotten {
            self.records.remove(attempt);
        }
        forgotten
    }

    fn set(&mut self, attempt: Attempt, phase: Phase, now: Duration) {
        self.records.insert(attempt, Record { phase, changed_at: now });
    }
}
