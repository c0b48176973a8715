//! The part of a hub's state that its lock protects.

use crate::id_hash::{IdHash, hash_id};
use crate::permit::Permit;
use filberttrail_fleet::snapshot::Progress;
use filberttrail_fleet::{Admission, Budget, Candidate, Table, upstream};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time for which the load in a message from another entry is taken into account.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time without messages from other data centres after which this one counts as partitioned from
/// them. Entries send messages at least every 0.4 s.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time for which a restored store may lack what was written shortly before. Upstreams and operators
/// write it again within seconds, and registrations of upstreams that have left expire after three
/// heartbeats. Until then, the objects of the copy do not undo what this entry knows.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(6_000);
/// Time for which departed upstreams are remembered. Copies of the store are some seconds old.
pub(crate) const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// The last message from another entry.
pub(crate) struct PeerReport {
    pub received_at: Duration,
    pub data_centre: String,
    pub loads: HashMap<IdHash, u32>,
}

/// Candidates, queues, budgets, and what was read from the store and received from other entries.
#[derive(Default)]
pub(crate) struct State {
    /// Active configuration, once it is known.
    pub table: Option<Arc<Table>>,
    /// Whether all registrations were read at least once.
    pub upstreams_known: bool,
    /// Whether the data centres out of service were read at least once.
    pub outs_known: bool,
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
    /// Last messages from other entries, by the name of the entry.
    pub peer_reports: HashMap<String, PeerReport>,
    /// Kinds of objects for which the store is unavailable.
    pub unavailable_kinds: HashSet<&'static str>,
    /// Time at which the store last became available again for upstreams.
    pub upstreams_regained_at: Duration,
    /// Time at which the store was last found to be restored from a copy that lacks the latest
    /// writes, until the objects have been listed again after [`RESTORE_GRACE`].
    pub restored_at: Option<Duration>,
    /// Upstreams that left, with their incarnation and the time, by id.
    pub departed: HashMap<upstream::Id, (upstream::Incarnation, Duration)>,
    /// Whether this entry is partitioned from the other data centres.
    pub partitioned: bool,
    /// Slowdown factors of slow upstreams, by address.
    pub slowdowns: HashMap<SocketAddr, f64>,
    /// Revisions up to which the store was followed.
    pub followed: Progress,
    /// Revision of the last known change of each kind of object.
    pub latest_changes: Progress,
}

/// Updates the number of other entries' requests in flight on each upstream.
pub(crate) fn update_peer_requests(state: &mut State, now: Duration) {
    for candidate in state.candidates.values_mut() {
        let hash = hash_id(&candidate.upstream.id);
        let fresh = state
            .peer_reports
            .values()
            .filter(|report| now < report.received_at + PEER_LOAD_LIFETIME);
        candidate.peer_requests = fresh.filter_map(|report| report.loads.get(&hash)).sum();
    }
}

/// Returns whether this entry is partitioned from the other data centres: no entry there sends
/// messages any more, and no rank of a lock-step group responds. Callers are better served by
/// another entry then.
pub(crate) fn is_partitioned(state: &State, local_data_centre: &str, now: Duration) -> bool {
    let mut elsewhere = state
        .peer_reports
        .values()
        .filter(|report| report.data_centre != local_data_centre)
        .peekable();
    if elsewhere.peek().is_none()
        || elsewhere.any(|report| now < report.received_at + PEER_SILENCE_TIMEOUT)
    {
        return false;
    }
    let ranks = state.candidates.values().filter(|candidate| candidate.upstream.rank.is_some());
    !ranks.filter_map(|candidate| candidate.last_success).any(|at| now < at + PEER_SILENCE_TIMEOUT)
}
