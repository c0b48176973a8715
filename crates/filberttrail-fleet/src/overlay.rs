//! Chooses the entries through which the entries of a large estate hear of each other.
//!
//! Load pattern: with 149 entries, messages from each to each are 73,000 a second, and each change
//! in the store is read 149 times. Instead, each entry sends its load to two relays in its data
//! centre, which answer with the sum of all others, and relays of different data centres exchange
//! their sums. Only relays watch the store; the others copy from them what has changed.
//!
//! Nothing has to be agreed on: an entry ranks the others by rendezvous hashing and passes over
//! those that did not answer, and an entry acts as a relay for as long as others send to it.

use filberttrail_kernel::digest::{mix, stable_hash};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of entries up to which all of them send to each other and watch the store.
pub const DIRECT_LIMIT: usize = 48;
/// Number of relays that an entry sends to in a data centre. Two, so that the loss of one leaves no
/// entry without news.
const RELAYS: usize = 2;
/// Time without an answer after which an entry passes over a relay.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Time for which a silent relay is passed over.
const AVOIDED_FOR: Duration = Duration::from_millis(6_000);
/// Time for which an entry acts as a relay after the last message to it as one.
const ROLE_LIFETIME: Duration = Duration::from_millis(3_000);
/// Time without an answer from any relay that the store responds to, after which an entry watches
/// the store itself. Bounds on changes are 2 s or more, and the store answers within some tenths of
/// a second.
const UNSERVED_LIMIT: Duration = Duration::from_millis(1_100);

/// What one entry knows of the others that relay for it.
#[derive(Debug, Default)]
pub struct Overlay {
    /// Time of the first unanswered message to each relay.
    unanswered_since: HashMap<String, Duration>,
    avoided_until: HashMap<String, Duration>,
    /// Time of the last message to this entry as a relay.
    asked_at: Option<Duration>,
    /// Time of the last answer from a relay to which the store responds, or of the start.
    served_at: Duration,
}

impl Overlay {
    /// Creates the state of an entry that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { served_at: now, ..Self::default() }
    }

    /// Returns whether entries send to each other directly and all watch the store.
    pub fn is_direct(entries: usize) -> bool {
        entries <= DIRECT_LIMIT
    }

    /// Returns the number of entries that watch the store, this one included.
    pub fn count_watchers(entries: usize, data_centres: usize) -> u32 {
        if Self::is_direct(entries) { entries as u32 } else { (RELAYS * data_centres) as u32 }
    }

    /// Returns the relays of one data centre. `entries` has the data centre of each other entry, by
    /// name.
    pub fn choose_relays(
        &self,
        entries: &BTreeMap<String, String>,
        data_centre: &str,
        now: Duration,
    ) -> Vec<String> {
        let weight = |name: &String| mix(stable_hash(name.as_bytes()), 0);
        let is_avoided =
            |name: &String| self.avoided_until.get(name).is_some_and(|until| now < *until);
        let mut members: Vec<&String> = entries
            .iter()
            .filter(|(_, located)| *located == data_centre)
            .map(|(name, _)| name)
            .collect();
        // If all are avoided, the preferred ones are tried again.
        members.sort_by_cached_key(|name| (is_avoided(name), weight(name)));
        members.into_iter().take(RELAYS).cloned().collect()
    }

    /// Records a message to a relay that should be answered.
    pub fn record_sent(&mut self, now: Duration, relay: &str) {
        let since = *self.unanswered_since.entry(relay.to_string()).or_insert(now);
        if now >= since + SILENCE_LIMIT {
            self.avoided_until.insert(relay.to_string(), now + AVOIDED_FOR);
            self.unanswered_since.remove(relay);
        }
    }

    /// Records an answer from a relay. A relay to which the store does not respond may not know the
    /// latest changes, so it does not replace watching the store.
    pub fn record_answer(&mut self, now: Duration, relay: &str, store_available: bool) {
        if store_available {
            self.served_at = now;
        }
        self.unanswered_since.remove(relay);
        self.avoided_until.remove(relay);
    }

    /// Records a message to this entry as a relay.
    pub fn record_asked(&mut self, now: Duration) {
        self.asked_at = Some(now);
    }

    /// Returns whether this entry acts as a relay.
    pub fn is_relay(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|at| now < at + ROLE_LIFETIME)
    }

    /// Returns whether this entry has to watch the store, given the number of entries.
    pub fn watches_store(&self, now: Duration, entries: usize) -> bool {
        Self::is_direct(entries) || self.is_relay(now) || self.is_unserved(now)
    }

    /// Returns whether no relay has answered for so long that this entry has to watch the store.
    pub fn is_unserved(&self, now: Duration) -> bool {
        now >= self.served_at + UNSERVED_LIMIT
    }
}
