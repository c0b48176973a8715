//! Which other entries run, as this gateway hears of them.

use crate::Hub;
use crate::hub::ASSUMED_ENTRIES;
use filberttrail_fleet::blame::{SubjectId, TRIAL_ENTRIES};
use filberttrail_fleet::presence::{Hearing, Silence};
use filberttrail_fleet::snapshot::Entry;
use filberttrail_fleet::subset;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::digest::stable_hash;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the retention of registrations after which an entry that hears of nothing assumes that its
/// own may have been removed.
const ISOLATION_FRACTION: f64 = 0.75;
/// Interval at which the presence of the other entries is looked at.
pub(crate) const PRESENCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of silent entries that a log line names.
const LOGGED_ENTRIES: usize = 16;

impl Hub {
    /// Sets the entries that share the budgets.
    pub fn set_entries(&self, entries: &BTreeMap<String, Entry>) {
        let hashes: Vec<u64> = entries.keys().map(|name| stable_hash(name.as_bytes())).collect();
        let located =
            entries.iter().map(|(name, entry)| (name.as_str(), entry.data_centre.as_str()));
        let now = self.now();
        let mut state = self.lock();
        state.presence.set_entries(now, located);
        state.entries = Some(hashes.len().max(1) as u32);
        state.entry_hashes = hashes;
        self.update_subsets(&mut state);
    }

    /// Returns the number of entries that share the budgets, as far as it is known.
    pub fn count_entries(&self) -> usize {
        self.lock().entry_hashes.len()
    }

    /// Records a message from another entry.
    pub(crate) fn record_message(&self, entry: &str) {
        let now = self.now();
        self.lock().presence.record_message(now, entry);
    }

    /// Sets from which entries messages arrive.
    pub(crate) fn set_hearing(&self, hearing: Hearing) {
        let now = self.now();
        self.lock().presence.set_hearing(now, hearing);
    }

    /// Records the silent entries that a relay reports.
    pub(crate) fn receive_silent(&self, silent: &[Silence]) {
        let now = self.now();
        self.lock().presence.record_silent(now, silent);
    }

    /// Returns the silent entries to report to relays of other data centres, or to the entries that
    /// hear of all others from this one.
    pub(crate) fn report_silent(&self, to_relays: bool) -> Vec<Silence> {
        let now = self.now();
        let state = self.lock();
        match to_relays {
            true => state.presence.report_own(now, &state.heard),
            false => state.presence.report_all(now, &state.heard),
        }
    }

    /// Returns whether this entry is one of those that may try a suspect: of the entries that run, as
    /// those that are gone try nothing.
    pub fn may_try(&self, subject: SubjectId) -> bool {
        let entry = stable_hash(self.settings.name.as_bytes());
        let now = self.now();
        let state = self.lock();
        let running = state.presence.list_running(now, &state.heard);
        subset::is_member(entry, &running, subject, TRIAL_ENTRIES)
    }

    /// Returns the entries whose registrations this one is to question.
    pub(crate) fn expired_entries(&self) -> Vec<String> {
        let now = self.now();
        let state = self.lock();
        state.presence.list_expired(now, self.settings.retention, &state.heard)
    }

    /// Logs which entries are silent when that changes, and updates the number of entries that
    /// limits are divided by. An entry that can't know whether it is still counted by the others uses
    /// the share of one that has just started.
    pub(crate) fn update_presence(&self) {
        let now = self.now();
        let mut state = self.lock();
        let silent = state.presence.list_silent(now, &state.heard);
        let proven_at = self.currency.entries.proven_at().unwrap_or_default();
        let is_unproven =
            now.saturating_sub(proven_at) >= self.settings.retention.mul_f64(ISOLATION_FRACTION);
        let others = state.entry_hashes.len().saturating_sub(1);
        let isolated = others > 0 && silent.len() >= others && is_unproven;
        let entries = if isolated { None } else { Some(state.entry_hashes.len().max(1) as u32) };
        let changed = state.silent_entries != silent;
        state.silent_entries.clone_from(&silent);
        let counted = !state.entry_hashes.is_empty() && state.entries != entries;
        if counted {
            state.entries = entries;
            self.update_subsets(&mut state);
        }
        drop(state);
        if changed {
            let names: Vec<&String> = silent.iter().take(LOGGED_ENTRIES).collect();
            let fields = json!({ "count": silent.len(), "names": names, "registered": others + 1 });
            self.journal.record(Priority::Important, "silent_entries", fields);
        }
        if counted {
            let fields = json!({
                "isolated": isolated, "entries": entries.unwrap_or(ASSUMED_ENTRIES),
                "unproven_ms": now.saturating_sub(proven_at).as_millis() as u64,
            });
            self.journal.record(Priority::Important, "counted_entries", fields);
        }
    }
}
