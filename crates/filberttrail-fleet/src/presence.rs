//! Tells which of the registered entries run.
//!
//! Load pattern: machines are replaced over the life of a system, and the registrations of those
//! that are gone stay in the store. A duty that is given to entries by their rank has to pass on
//! within seconds to entries that run, and the number of entries by which limits are divided must
//! not grow with each replacement.
//!
//! An entry runs as long as messages from it arrive. In a large estate only the relays of its data
//! centre receive them, and tell the others which entries are silent. Silence is no proof: an entry
//! may be cut off from this one only. So silence moves duties that two may hold at the same time,
//! and before a registration is removed, its owner is asked for a sign of life through the store.

use filberttrail_kernel::digest::{mix, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Hash of an entry's name.
pub type EntryHash = u64;
/// The time of the last news from each data centre.
pub type Heard = HashMap<String, Duration>;

/// Time without a message after which an entry counts as silent. Entries send one every 1.2 s at
/// least, of which one may be lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(3_000);
/// Time for which the reports of relays about silent entries count. They come every 0.1 s.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Maximum number of silent entries in a message. If a whole data centre is silent, that is known
/// without them.
const REPORT_LIMIT: usize = 64;
/// Delay between the entries that may question the same registration, so that one does.
const QUESTION_STAGGER: Duration = Duration::from_millis(5_000);

/// The entries whose messages an entry receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hearing {
    /// Those of all others, in a small estate.
    #[default]
    All,
    /// Those of its data centre, as a relay.
    DataCentre,
    /// Those of relays.
    Relays,
}

/// A silent entry, as a message tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// The silent entry.
    pub entry: EntryHash,
    /// The time for which it has been silent, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Known {
    hash: EntryHash,
    data_centre: String,
    /// Time of the last message from the entry, or at which it was first listed.
    heard_at: Duration,
}

/// What one entry knows of whether the others run.
#[derive(Debug, Default)]
pub struct Presence {
    /// Name and data centre of this entry.
    own: String,
    data_centre: String,
    hearing: Hearing,
    /// Time from which silence counts: before it, this entry could not have heard the others.
    listens_since: Duration,
    entries: HashMap<String, Known>,
    /// Silent entries that relays told of: the times since which they are silent, and of the report.
    told: HashMap<EntryHash, (Duration, Duration)>,
}

impl Presence {
    /// Creates the state of an entry that starts at `now`.
    pub fn new(now: Duration, own: &str, data_centre: &str) -> Self {
        let (own, data_centre) = (own.to_string(), data_centre.to_string());
        Self { own, data_centre, listens_since: now, ..Self::default() }
    }

    /// Starts to listen anew: after a pause of this process, silence before `now` tells nothing.
    pub fn restart(&mut self, now: Duration) {
        self.listens_since = now;
    }

    /// Sets whose messages arrive. Those that arrive from now on may have been sent to others before.
    pub fn set_hearing(&mut self, now: Duration, hearing: Hearing) {
        if self.hearing != hearing {
            self.hearing = hearing;
            self.listens_since = now;
        }
    }

    /// Replaces the registered entries, given by name and data centre.
    pub fn set_entries<'a>(
        &mut self,
        now: Duration,
        entries: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        let mut previous = std::mem::take(&mut self.entries);
        for (name, data_centre) in entries {
            let heard_at = previous.remove(name).map_or(now, |known| known.heard_at);
            let hash = stable_hash(name.as_bytes());
            let known = Known { hash, data_centre: data_centre.to_string(), heard_at };
            self.entries.insert(name.to_string(), known);
        }
    }

    /// Records a message from an entry.
    pub fn record_message(&mut self, now: Duration, entry: &str) {
        if let Some(known) = self.entries.get_mut(entry) {
            known.heard_at = now;
        }
    }

    /// Records which entries a relay reports as silent. What a relay hears from those of its own data
    /// centre is not for it to be told.
    pub fn record_silent(&mut self, now: Duration, silent: &[Silence]) {
        self.told.retain(|_, (_, told_at)| now < *told_at + REPORT_LIFETIME);
        for Silence { entry, age_ms } in silent.iter().take(REPORT_LIMIT) {
            let since = now.saturating_sub(Duration::from_millis(*age_ms));
            self.told.insert(*entry, (since, now));
        }
    }

    /// Returns the silent entries of this entry's data centre, for the relays of others.
    pub fn report_own(&self, now: Duration, heard: &Heard) -> Vec<Silence> {
        self.report(now, heard, |known| known.data_centre == self.data_centre)
    }

    /// Returns all silent entries, for an entry that hears of the others from this one.
    pub fn report_all(&self, now: Duration, heard: &Heard) -> Vec<Silence> {
        self.report(now, heard, |_| true)
    }

    fn report(
        &self,
        now: Duration,
        heard: &Heard,
        select: impl Fn(&Known) -> bool,
    ) -> Vec<Silence> {
        let silent = self.entries.iter().filter_map(|(name, known)| {
            let silence = self.silence(now, name, known, heard);
            let told = Silence { entry: known.hash, age_ms: silence.as_millis() as u64 };
            (select(known) && silence >= SILENCE_LIMIT).then_some(told)
        });
        silent.take(REPORT_LIMIT).collect()
    }

    /// Returns the names of the silent entries, sorted.
    pub fn list_silent(&self, now: Duration, heard: &Heard) -> Vec<String> {
        self.list(|name, known| self.silence(now, name, known, heard) >= SILENCE_LIMIT)
    }

    /// Returns the hashes of the entries that run, as far as this one can tell.
    pub fn list_running(&self, now: Duration, heard: &Heard) -> Vec<EntryHash> {
        let running = self
            .entries
            .iter()
            .filter(|(name, known)| self.silence(now, name, known, heard) < SILENCE_LIMIT);
        running.map(|(_, known)| known.hash).collect()
    }

    /// Returns the entries that have been silent for `retention` and whose registrations this one is
    /// to question now. Others do so later, in case this one can't.
    pub fn list_expired(&self, now: Duration, retention: Duration, heard: &Heard) -> Vec<String> {
        let own = stable_hash(self.own.as_bytes());
        let mut running = None;
        self.list(|name, known| {
            let silence = self.silence(now, name, known, heard);
            if silence < retention.max(SILENCE_LIMIT) {
                return false;
            }
            let running = running.get_or_insert_with(|| self.list_running(now, heard));
            let weight = |entry: EntryHash| mix(entry, known.hash);
            let ahead = running.iter().filter(|other| weight(**other) > weight(own)).count();
            silence >= retention + QUESTION_STAGGER * ahead as u32
        })
    }

    fn list(&self, mut select: impl FnMut(&str, &Known) -> bool) -> Vec<String> {
        let selected = self.entries.iter().filter(|(name, known)| select(name, known));
        let mut names: Vec<String> = selected.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Returns the time since the last sign of life of an entry.
    fn silence(&self, now: Duration, name: &str, known: &Known, heard: &Heard) -> Duration {
        if name == self.own {
            return Duration::ZERO;
        }
        let is_heard = match self.hearing {
            Hearing::All => true,
            Hearing::DataCentre => known.data_centre == self.data_centre,
            Hearing::Relays => false,
        };
        let told = self.told.get(&known.hash);
        let told = told.filter(|(_, told_at)| now < *told_at + REPORT_LIFETIME);
        let alive_at = match told {
            _ if is_heard => known.heard_at,
            Some((since, _)) => known.heard_at.max(*since),
            None => {
                let news_at = heard.get(&known.data_centre).copied().unwrap_or_default();
                known.heard_at.max(news_at)
            }
        };
        now.saturating_sub(alive_at.max(self.listens_since))
    }
}
