//! What a sidecar knows of the attempts offered to it.
//!
//! Invariants: an attempt is handed over at most once; one that was settled as not run is never
//! handed over afterwards, whatever arrives later and in whatever order.

use filberttrail_kernel::id::{Attempt, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an attempt is remembered after its last change.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Most attempts remembered; offers beyond it are refused, since they could not be.
pub const CAPACITY: usize = 200_000;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Accepted, not handed over yet.
    Pending,
    /// Handed over.
    Running,
    /// Its answer is whole, or it failed.
    Done,
    /// It was settled as not run.
    Withdrawn,
}

/// The answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It is accepted.
    Accepted,
    /// It was offered before; nothing is to be done.
    Duplicate,
    /// It was withdrawn before it came.
    Withdrawn,
    /// It came over a connection that a later one replaced.
    Superseded,
    /// The ledger has no room.
    Full,
}

/// The answer to the question what became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Settled {
    /// It was not handed over and never will be.
    NotRun,
    /// It was handed over; its answer may still come.
    Running,
    /// It has ended.
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Record {
    phase: Phase,
    changed: Duration,
}

/// The attempts that a sidecar remembers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    connections: BTreeMap<Incarnation, u64>,
    records: BTreeMap<Attempt, Record>,
    capacity: Option<usize>,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the most attempts remembered.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = Some(capacity);
        self
    }

    /// Notes an entry's connection; offers over its earlier ones are refused from now on.
    pub fn register_connection(&mut self, owner: Incarnation, connection: u64) {
        let newest = self.connections.entry(owner).or_default();
        *newest = (*newest).max(connection);
    }

    /// Decides on an offer.
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

    /// Decides, as the last thing before handing over, whether it may be handed over.
    pub fn hand_over(&mut self, attempt: Attempt, now: Duration) -> bool {
        let pending = self.phase(attempt) == Some(Phase::Pending);
        if pending {
            self.set(attempt, Phase::Running, now);
        }
        pending
    }

    /// Settles an attempt: what was not handed over never will be.
    pub fn withdraw(&mut self, attempt: Attempt, now: Duration) -> Settled {
        match self.phase(attempt) {
            Some(Phase::Running) => Settled::Running,
            Some(Phase::Done) => Settled::Done,
            Some(Phase::Pending | Phase::Withdrawn) | None => {
                self.set(attempt, Phase::Withdrawn, now);
                Settled::NotRun
            }
        }
    }

    /// Notes that an attempt was not handed over after all, which is proved.
    pub fn refuse(&mut self, attempt: Attempt, now: Duration) {
        self.set(attempt, Phase::Withdrawn, now);
    }

    /// Notes that an attempt has ended.
    pub fn finish(&mut self, attempt: Attempt, now: Duration) {
        self.set(attempt, Phase::Done, now);
    }

    /// Returns where an attempt stands.
    pub fn phase(&self, attempt: Attempt) -> Option<Phase> {
        self.records.get(&attempt).map(|record| record.phase)
    }

    /// Tells whether an attempt is accepted and has not ended.
    pub fn is_open(&self, attempt: Attempt) -> bool {
        matches!(self.phase(attempt), Some(Phase::Pending | Phase::Running))
    }

    /// Counts the attempts that are accepted and have not ended.
    pub fn open(&self) -> usize {
        let open = |record: &&Record| matches!(record.phase, Phase::Pending | Phase::Running);
        self.records.values().filter(open).count()
    }

    /// Forgets attempts that ended long ago, and returns them.
    ///
    /// An offer cannot come so late: its connection would have been replaced by then.
    pub fn sweep(&mut self, now: Duration) -> Vec<Attempt> {
        let old = |record: &Record| {
            let ended = matches!(record.phase, Phase::Done | Phase::Withdrawn);
            ended && now.saturating_sub(record.changed) > RETENTION
        };
        let forgotten: Vec<Attempt> =
            self.records.iter().filter(|(_, record)| old(record)).map(|(id, _)| *id).collect();
        for attempt in &forgotten {
            self.records.remove(attempt);
        }
        forgotten
    }

    fn set(&mut self, attempt: Attempt, phase: Phase, now: Duration) {
        self.records.insert(attempt, Record { phase, changed: now });
    }
}
