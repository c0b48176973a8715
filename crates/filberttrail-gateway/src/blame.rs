//! The prompt parts that this gateway and the other entries blame for crashes.

use crate::id_hash::hash_id;
use crate::target::Target;
use crate::verdicts::Change;
use filberttrail_fleet::blame::{Crash, Decision, Ledger, PartId, Report};
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_kernel::digest::stable_hash;
use serde_json::json;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of verdicts that wait to be stored.
const UNSTORED_LIMIT: usize = 1_024;

/// Returns the id of a part of the prompts of a service.
pub fn part_id(service: &str, part: &str) -> PartId {
    stable_hash(format!("{service}/{part}").as_bytes())
}

/// Formats the id of a part for logs and names of objects.
pub fn format_part(part: PartId) -> String {
    format!("{part:016x}")
}

/// The ledger of blamed parts, with the clock and the log.
pub struct Blame {
    clock: clock::Shared,
    journal: Journal,
    ledger: Mutex<Ledger>,
    /// Notified when the other entries should hear of a change immediately.
    pub changed: Notify,
    /// Verdicts that are not stored yet, oldest first.
    unstored: Mutex<Vec<Change>>,
    /// Notified when there are verdicts to store.
    pub stored_changes: Notify,
}

impl Blame {
    /// Creates an empty ledger.
    pub fn new(clock: clock::Shared, journal: Journal) -> Self {
        Self {
            clock,
            journal,
            ledger: Mutex::default(),
            changed: Notify::new(),
            unstored: Mutex::default(),
            stored_changes: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a request with these parts. `may_try` tells whether this entry may try a suspect.
    pub fn decide(&self, parts: &[PartId], may_try: impl Fn(PartId) -> bool) -> Decision {
        if parts.is_empty() {
            return Decision::Free;
        }
        self.lock().decide(self.clock.now(), parts, may_try)
    }

    /// Begins the trial of suspects.
    pub fn begin_trial(&self, suspects: &[PartId]) {
        self.lock().begin_trial(suspects);
    }

    /// Ends the trial of suspects.
    pub fn end_trial(&self, suspects: &[PartId]) {
        self.lock().end_trial(suspects);
    }

    /// Returns whether answers with all these parts have lived recently.
    pub fn trusts(&self, parts: &[PartId]) -> bool {
        let now = self.clock.now();
        let ledger = self.lock();
        parts.iter().all(|part| ledger.is_trusted(now, *part))
    }

    /// Records that an answer to a request with these parts has lived.
    pub fn record_lived(&self, parts: &[PartId]) {
        if parts.is_empty() {
            return;
        }
        let cleared = self.lock().record_lived(self.clock.now(), parts);
        if !cleared.is_empty() {
            self.record("prompt_parts_cleared", &cleared);
            self.changed.notify_one();
        }
    }

    /// Records that an upstream crashed while it answered a request with these parts, of which
    /// `suspects` were on trial.
    pub fn record_crash(
        &self,
        request: &str,
        target: &Target,
        parts: &[PartId],
        suspects: &[PartId],
    ) {
        let crash = Crash { upstream: hash_id(&target.id), incarnation: target.incarnation };
        let condemned = self.lock().record_crash(self.clock.now(), crash, parts, suspects);
        let texts = |parts: &[PartId]| -> Vec<String> {
            parts.iter().map(|part| format_part(*part)).collect()
        };
        let fields = json!({
            "request": request, "upstream": target.id, "part_ids": texts(parts),
            "on_trial": texts(suspects),
        });
        self.journal.record(Priority::Important, "prompt_parts_accused", fields);
        self.record_condemned(&condemned);
        self.changed.notify_one();
    }

    /// Returns what to tell the other entries.
    pub fn report(&self) -> Report {
        self.lock().report(self.clock.now())
    }

    /// Takes over what another entry reports, and reports it to others too if `pass_on` is set.
    pub fn receive(&self, report: &Report, pass_on: bool) {
        if *report == Report::default() {
            return;
        }
        let condemned = self.lock().receive(self.clock.now(), report, pass_on);
        self.record_condemned(&condemned);
    }

    /// Returns the number of condemned parts.
    pub fn count_condemned(&self) -> usize {
        self.lock().count_condemned()
    }

    /// Forgets what has expired.
    pub fn remove_expired(&self) {
        let lapsed = self.lock().remove_expired(self.clock.now());
        self.record("prompt_parts_forgotten", &lapsed);
        self.store(lapsed.into_iter().map(Change::Forgotten));
    }

    /// Condemns the parts that the store holds.
    pub fn restore(&self, parts: &[PartId]) {
        let now = self.clock.now();
        let mut ledger = self.lock();
        let new: Vec<PartId> =
            parts.iter().copied().filter(|part| ledger.condemn(now, *part)).collect();
        drop(ledger);
        self.record("prompt_parts_condemned", &new);
    }

    /// Removes and returns the verdicts that are not stored yet.
    pub fn take_changes(&self) -> Vec<Change> {
        std::mem::take(&mut *self.unstored.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn record_condemned(&self, parts: &[PartId]) {
        self.record("prompt_parts_condemned", parts);
        self.store(parts.iter().copied().map(Change::Condemned));
    }

    fn store(&self, changes: impl Iterator<Item = Change>) {
        let mut unstored = self.unstored.lock().unwrap_or_else(PoisonError::into_inner);
        unstored.extend(changes);
        // Verdicts that cannot be stored are not kept without bound; running entries know them.
        let excess = unstored.len().saturating_sub(UNSTORED_LIMIT);
        unstored.drain(..excess);
        if !unstored.is_empty() {
            self.stored_changes.notify_one();
        }
    }

    fn record(&self, event: &str, parts: &[PartId]) {
        if parts.is_empty() {
            return;
        }
        let part_ids: Vec<String> = parts.iter().map(|part| format_part(*part)).collect();
        self.journal.record(Priority::Important, event, json!({ "part_ids": part_ids }));
    }
}
