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
/// Age of the last proof from a relay from which an entry watches the store itself, as a fraction of
/// the time within which a change has to be in force. Relays check their knowledge when it is half
/// as old as that time; the rest is for this entry's own call and for a copy of the change.
const UNSERVED_FRACTION: f64 = 0.55;
/// Longest delay between two attempts to reach a store that is unavailable, of an entry that other
/// entries rely on.
const RETRY_DELAY_LIMIT: Duration = Duration::from_millis(500);
/// The same for an entry whose relays answer: they try the store as well, and tell when it is back.
const RELAYED_RETRY_DELAY_LIMIT: Duration = Duration::from_millis(2_000);

/// What one entry knows of the others that relay for it.
#[derive(Debug)]
pub struct Overlay {
    /// Age of the last proof from which this entry watches the store.
    unserved_limit: Duration,
    /// Time of the first unanswered message to each relay.
    unanswered_since: HashMap<String, Duration>,
    avoided_until: HashMap<String, Duration>,
    /// Time of the last message to this entry as a relay.
    asked_at: Option<Duration>,
    /// Time of the last answer from any relay.
    answered_at: Option<Duration>,
    /// Time at which the knowledge of a relay, and with it this entry's, was last proven to be
    /// current, or of the start.
    served_at: Duration,
}

impl Overlay {
    /// Creates the state of an entry that starts at `now`, where changes have to be in force
    /// `apply_within` their acknowledgement.
    pub fn new(now: Duration, apply_within: Duration) -> Self {
        Self {
            unserved_limit: apply_within.mul_f64(UNSERVED_FRACTION),
            unanswered_since: HashMap::new(),
            avoided_until: HashMap::new(),
            asked_at: None,
            answered_at: None,
            served_at: now,
        }
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

    /// Records an answer from a relay, and the time at which it proves this entry's knowledge to be
    /// current, if it does. A relay that answers may know no more than before: it was frozen, has
    /// just started, or its own watches are lost. So its answer alone does not replace watching the
    /// store.
    pub fn record_answer(&mut self, now: Duration, relay: &str, proven_at: Option<Duration>) {
        self.served_at = self.served_at.max(proven_at.unwrap_or_default());
        self.answered_at = Some(now);
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

    /// Returns whether the last proof from a relay is so old that this entry has to watch the store.
    pub fn is_unserved(&self, now: Duration) -> bool {
        now >= self.served_at + self.unserved_limit
    }

    /// Returns the longest delay between two attempts to reach a store that is unavailable, given
    /// the number of entries.
    ///
    /// Load pattern: all 149 entries lose the store at the same moment, and each of their calls has
    /// a price, whether it is answered or not.
    pub fn retry_delay_limit(&self, now: Duration, entries: usize) -> Duration {
        let is_answered = self.answered_at.is_some_and(|at| now < at + SILENCE_LIMIT);
        if Self::is_direct(entries) || self.is_relay(now) || !is_answered {
            RETRY_DELAY_LIMIT
        } else {
            RELAYED_RETRY_DELAY_LIMIT
        }
    }
}
