//! The part of a hub's state that its lock protects.

use crate::hub::ASSUMED_ENTRIES;
use crate::id_hash::{IdHash, hash_id};
use crate::packed::Packed;
use crate::permit::Permit;
use crate::slot_request::SlotRequest;
use filberttrail_fleet::configuration::Generation;
use filberttrail_fleet::snapshot::Progress;
use filberttrail_fleet::subset::{self, Share};
use filberttrail_fleet::{
    Admission, Budget, Candidate, Freshness, Loads, Presence, Table, balance, upstream,
};
use filberttrail_kernel::digest::stable_hash;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time without messages from other data centres after which this one counts as partitioned from
/// them. Entries send messages at least every 0.4 s.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time for which a restored store may lack what was written shortly before. Upstreams and operators
/// write it again within seconds, and registrations of upstreams that have left expire after three
/// heartbeats. Until then, the objects of the copy do not undo what this entry knows.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(6_000);
/// Time for which departed upstreams are remembered. Copies of the store are some seconds old.
pub(crate) const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// The departure of an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Departure {
    /// Incarnation that left.
    pub incarnation: upstream::Incarnation,
    /// Time at which its registration was found to be gone.
    pub at: Duration,
    /// Whether it had said before that it would leave.
    pub planned: bool,
}

/// Candidates, queues, budgets, and what was read from the store and received from other entries.
#[derive(Default)]
pub(crate) struct State {
    /// Active configuration, once it is known.
    pub table: Option<Arc<Table>>,
    /// The active configuration as it is sent to other entries, with its generation, once one has
    /// asked for it.
    pub packed: Option<(Generation, Packed)>,
    /// Whether all registrations were read at least once.
    pub upstreams_known: bool,
    /// Whether the data centres out of service were read at least once.
    pub outs_known: bool,
    /// Whether the condemned subjects were read, or another entry has reported its own.
    pub verdicts_known: bool,
    pub candidates: BTreeMap<upstream::Id, Candidate>,
    /// Data centres out of service.
    pub outs: Vec<String>,
    /// Admission queues, by service.
    pub queues: HashMap<String, Admission>,
    /// Channels on which waiting requests receive their permits, by service and ticket.
    pub waiting_senders: HashMap<(String, u64), oneshot::Sender<Permit>>,
    /// Shares of the retry budgets, by service.
    pub budgets: HashMap<String, Budget>,
    /// Longest time left on the arrival of a request, by route.
    pub longest_timeouts: HashMap<String, Duration>,
    /// Number of entries that share the budgets, once it is known.
    pub entries: Option<u32>,
    /// Position in the list of limits from which the next message tells some.
    pub told_limits: usize,
    /// Hashes of the names of all entries.
    pub entry_hashes: Vec<u64>,
    /// Which of them run.
    pub presence: Presence,
    /// Names of the entries that were last logged as silent.
    pub silent_entries: Vec<String>,
    /// Loads that other entries reported.
    pub loads: Loads,
    /// Ids of the candidates, by their hash.
    pub candidate_ids: HashMap<IdHash, upstream::Id>,
    /// Time of the last news from an entry of each data centre.
    pub heard: HashMap<String, Duration>,
    /// Kinds of objects for which the store is unavailable.
    pub unavailable_kinds: HashSet<&'static str>,
    /// Time at which the store last became available again for upstreams.
    pub upstreams_regained_at: Duration,
    /// Whether what is known was read since the last pause of the process.
    pub freshness: Freshness,
    /// Time at which the store was last found to be restored from a copy that lacks the latest
    /// writes, until the objects have been listed again after [`RESTORE_GRACE`].
    pub restored_at: Option<Duration>,
    /// Upstreams that left, by id.
    pub departed: HashMap<upstream::Id, Departure>,
    /// Whether this entry is partitioned from the other data centres.
    pub partitioned: bool,
    /// Slowdown factors of slow upstreams, by address.
    pub slowdowns: HashMap<SocketAddr, f64>,
    /// Revisions up to which the store was followed.
    pub followed: Progress,
    /// Revision of the last known change of each kind of object.
    pub latest_changes: Progress,
}

impl State {
    /// Returns whether everything is known that has to be before requests are served.
    pub(crate) fn is_known(&self) -> bool {
        self.table.is_some() && self.upstreams_known && self.outs_known && self.verdicts_known
    }

    /// Returns the time from which a usable upstream takes a request, `now` or before if one does.
    /// `None` if none is usable.
    pub(crate) fn opens_at(&mut self, now: Duration, request: &SlotRequest) -> Option<Duration> {
        let entries = self.entries.unwrap_or(ASSUMED_ENTRIES) as usize;
        let Self { candidates, outs, .. } = self;
        let usable = candidates.values_mut().filter(|candidate| {
            candidate.upstream.service == request.service
                && balance::is_usable(candidate, outs, &request.admission.tried)
        });
        usable.map(|candidate| candidate.intake.opens_at(now, entries)).min()
    }

    /// Returns the upstreams that are kept although their registration disappeared.
    pub(crate) fn missing_upstreams(&self) -> Vec<upstream::Id> {
        let missing = self.candidates.values().filter(|candidate| candidate.missing);
        missing.map(|candidate| candidate.upstream.id.clone()).collect()
    }

    /// Adds a candidate with the load that other entries have reported for it.
    pub(crate) fn insert_candidate(&mut self, candidate: Candidate) {
        let id = candidate.upstream.id.clone();
        let hash = hash_id(&id);
        self.candidate_ids.insert(hash, id.clone());
        self.candidates.insert(id, candidate);
        self.update_peer_requests(&[hash]);
    }

    /// Removes a candidate.
    pub(crate) fn remove_candidate(&mut self, id: &str) {
        self.candidate_ids.remove(&hash_id(id));
        self.candidates.remove(id);
    }

    /// Updates the number of other entries' requests in flight on upstreams whose load changed.
    pub(crate) fn update_peer_requests(&mut self, changed: &[IdHash]) {
        for hash in changed {
            let id = self.candidate_ids.get(hash);
            if let Some(candidate) = id.and_then(|id| self.candidates.get_mut(id)) {
                candidate.peer_requests = self.loads.sum(*hash);
            }
        }
    }

    /// Updates of which upstreams' subsets this entry is a member. `share` returns the share of a
    /// service's upstreams that one entry may use, if they are limited.
    pub(crate) fn update_subsets(
        &mut self,
        entry: u64,
        share: impl Fn(&Table, &str) -> Option<Share>,
    ) {
        let Self { table, candidates, entry_hashes, .. } = self;
        let Some(table) = table else { return };
        for candidate in candidates.values_mut() {
            let share = share(table, &candidate.upstream.service);
            let upstream = stable_hash(candidate.upstream.id.as_bytes());
            let rank = subset::rank(entry, entry_hashes, upstream);
            let members = share.and_then(|share| share.members);
            candidate.in_subset = members.is_none_or(|members| rank < members);
            candidate.intake.set_rank(rank);
        }
    }
}

/// Returns whether this entry is partitioned from the other data centres: no entry there sends
/// messages any more, and no rank of a lock-step group responds. Callers are better served by
/// another entry then.
pub(crate) fn is_partitioned(state: &State, local_data_centre: &str, now: Duration) -> bool {
    let mut elsewhere =
        state.heard.iter().filter(|(data_centre, _)| *data_centre != local_data_centre).peekable();
    if elsewhere.peek().is_none() || elsewhere.any(|(_, at)| now < *at + PEER_SILENCE_TIMEOUT) {
        return false;
    }
    let ranks = state.candidates.values().filter(|candidate| candidate.upstream.rank.is_some());
    !ranks.filter_map(|candidate| candidate.last_success).any(|at| now < at + PEER_SILENCE_TIMEOUT)
}
