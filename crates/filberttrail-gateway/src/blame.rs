//! What this gateway and the other entries blame for crashes.

use crate::id_hash::hash_id;
use crate::target::Target;
use crate::verdicts::Change;
use filberttrail_fleet::blame::{Crash, Decision, Ledger, Report, SubjectId, Turn, part};
use filberttrail_fleet::upstream;
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_kernel::digest::stable_hash;
use serde_json::json;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of verdicts that wait to be stored.
const UNSTORED_LIMIT: usize = 1_024;

/// Returns the subject that a part of the prompts of a service is.
pub fn part_subject(service: &str, id: &str) -> SubjectId {
    part(stable_hash(format!("{service}/{id}").as_bytes()))
}

/// Formats a subject for logs and names of objects.
pub fn format_subject(subject: SubjectId) -> String {
    format!("{subject:016x}")
}

fn format_subjects(subjects: &[SubjectId]) -> Vec<String> {
    subjects.iter().map(|subject| format_subject(*subject)).collect()
}

/// Returns the crash that would end an upstream.
fn crash_of(target: &Target) -> Crash {
    Crash { upstream: hash_id(&target.id), incarnation: target.incarnation }
}

/// The ledger of blamed subjects, with the clock and the log.
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

    /// Decides on a request with these subjects. `is_up` tells whether an upstream could take it, and
    /// `turn` when this entry may try a suspect with it, by the suspect and whether it is the only one.
    pub fn decide(
        &self,
        subjects: &[SubjectId],
        is_up: impl FnOnce() -> bool,
        turn: impl Fn(SubjectId, bool) -> Turn,
    ) -> Decision {
        self.lock().decide(self.clock.now(), subjects, is_up, turn)
    }

    /// Begins the trial of suspects at an upstream.
    pub fn begin_trial(&self, suspects: &[SubjectId], target: &Target) {
        if suspects.is_empty() {
            return;
        }
        self.lock().begin_trial(suspects, crash_of(target));
        self.changed.notify_one();
    }

    /// Ends the trial of suspects.
    pub fn end_trial(&self, suspects: &[SubjectId]) {
        self.lock().end_trial(suspects);
    }

    /// Returns whether answers with all these subjects have lived recently.
    pub fn trusts(&self, subjects: &[SubjectId]) -> bool {
        let now = self.clock.now();
        let ledger = self.lock();
        subjects.iter().all(|subject| ledger.is_trusted(now, *subject))
    }

    /// Records that an answer to a request with these subjects has lived.
    pub fn record_lived(&self, subjects: &[SubjectId]) {
        let cleared = self.lock().record_lived(self.clock.now(), subjects);
        if !cleared.is_empty() {
            self.record("subjects_cleared", &cleared);
            self.changed.notify_one();
        }
    }

    /// Records that an upstream crashed while it answered a request with these subjects, of which
    /// `suspects` were on trial.
    pub fn record_crash(
        &self,
        request: &str,
        target: &Target,
        subjects: &[SubjectId],
        suspects: &[SubjectId],
    ) {
        let now = self.clock.now();
        let condemned = self.lock().record_crash(now, crash_of(target), subjects, suspects);
        let fields = json!({
            "request": request, "upstream": target.id, "subjects": format_subjects(subjects),
            "on_trial": format_subjects(suspects),
        });
        self.journal.record(Priority::Important, "subjects_accused", fields);
        self.record_condemned(&condemned);
        self.changed.notify_one();
    }

    /// Records that a request to an upstream ended without an answer, and it is not known whether
    /// the upstream crashed.
    pub fn record_failure(&self, target: &Target, subjects: &[SubjectId], suspects: &[SubjectId]) {
        self.lock().record_failure(self.clock.now(), crash_of(target), subjects, suspects);
    }

    /// Records that an incarnation of an upstream has ended, and accuses the requests that ended
    /// there without an answer.
    pub fn record_end(&self, upstream: &str, incarnation: upstream::Incarnation) {
        let crash = Crash { upstream: hash_id(upstream), incarnation };
        let [accused, condemned] = self.lock().record_end(self.clock.now(), crash);
        if accused.is_empty() {
            return;
        }
        let fields = json!({ "upstream": upstream, "subjects": format_subjects(&accused) });
        self.journal.record(Priority::Important, "subjects_accused", fields);
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

    /// Returns the number of condemned subjects.
    pub fn count_condemned(&self) -> usize {
        self.lock().count_condemned()
    }

    /// Forgets what has expired.
    pub fn remove_expired(&self) {
        let lapsed = self.lock().remove_expired(self.clock.now());
        self.record("subjects_forgotten", &lapsed);
        self.store(lapsed.into_iter().map(Change::Forgotten));
    }

    /// Condemns the subjects that the store holds.
    pub fn restore(&self, subjects: &[SubjectId]) {
        let now = self.clock.now();
        let mut ledger = self.lock();
        let new: Vec<SubjectId> =
            subjects.iter().copied().filter(|subject| ledger.condemn(now, *subject)).collect();
        drop(ledger);
        self.record("subjects_condemned", &new);
    }

    /// Removes and returns the verdicts that are not stored yet.
    pub fn take_changes(&self) -> Vec<Change> {
        std::mem::take(&mut *self.unstored.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn record_condemned(&self, subjects: &[SubjectId]) {
        self.record("subjects_condemned", subjects);
        self.store(subjects.iter().copied().map(Change::Condemned));
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

    fn record(&self, event: &str, subjects: &[SubjectId]) {
        if subjects.is_empty() {
            return;
        }
        let fields = json!({ "subjects": format_subjects(subjects) });
        self.journal.record(Priority::Important, event, fields);
    }
}
