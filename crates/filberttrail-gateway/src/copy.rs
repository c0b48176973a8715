//! Copies of what one entry has read from the store, as it sends them to another: only what the other
//! lacks, and the configuration in compressed form.

use crate::Hub;
use crate::message;
use crate::packed::Packed;
use crate::peers::Peers;
use filberttrail_fleet::snapshot::{Progress, Revision};
use filberttrail_fleet::{Configuration, Snapshot, Table, upstream};
use filberttrail_journal::journal::Priority;
use filberttrail_web::memory::Part;
use filberttrail_web::server::{crowded, read_body};
use filberttrail_web::{Body, Request, Response};
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Timeout for fetching a copy.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a copy, in bytes.
const SIZE_LIMIT: usize = 8 << 20;
/// The team under which other entries hold memory.
const OWNER: &str = "entries";

/// A snapshot with the configuration. Parts that the receiver has already are left out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Copy {
    /// All but the configuration.
    pub snapshot: Snapshot,
    /// The active configuration.
    pub configuration: Option<Packed>,
}

impl Hub {
    /// Returns the state that was read from the store since `known`, except for the entries.
    pub fn snapshot_since(&self, known: &Progress) -> Snapshot {
        let state = self.lock();
        let (seen, changed) = (state.followed, state.latest_changes);
        let upstreams = || state.candidates.values().map(|candidate| candidate.upstream.clone());
        let slowdowns = || state.slowdowns.iter().map(|(address, factor)| (*address, *factor));
        Snapshot {
            seen,
            changed,
            upstreams: is_news(seen.upstreams, changed.upstreams, known.upstreams)
                .then(|| upstreams().collect()),
            missing: state.missing_upstreams(),
            outs: is_news(seen.outs, changed.outs, known.outs).then(|| state.outs.clone()),
            slowdowns: is_news(seen.slowdowns, changed.slowdowns, known.slowdowns)
                .then(|| slowdowns().collect()),
            entries: None,
        }
    }

    /// Returns the active configuration if it has changed since `known`. It is compressed once, for
    /// all entries that ask for it.
    pub fn packed_configuration(&self, known: &Progress) -> Option<Packed> {
        let mut state = self.lock();
        let table = state.table.clone()?;
        let (seen, changed) = (state.followed.configuration, state.latest_changes.configuration);
        if !is_news(seen, changed, known.configuration) {
            return None;
        }
        let generation = table.configuration().generation;
        if let Some((packed_generation, packed)) = &state.packed
            && *packed_generation == generation
        {
            return Some(packed.clone());
        }
        match Packed::new(table.configuration()) {
            Ok(packed) => {
                state.packed = Some((generation, packed.clone()));
                Some(packed)
            }
            Err(error) => {
                log::error!("cannot encode the configuration for another entry: {error}");
                None
            }
        }
    }

    /// Takes over those parts of another entry's snapshot that are newer.
    pub fn merge_snapshot(&self, snapshot: Snapshot, configuration: Option<Configuration>) {
        let Snapshot { seen, changed, upstreams, missing, outs, slowdowns, .. } = snapshot;
        let own = self.followed_revisions();
        self.note_restore(&mut self.lock(), own.upstreams, seen.upstreams);
        if seen.configuration > own.configuration
            && let Some(configuration) = configuration
        {
            self.apply_table(Table::new(configuration));
        }
        if seen.upstreams > own.upstreams
            && let Some(upstreams) = upstreams
        {
            self.set_upstreams(upstreams);
            self.mark_missing(&missing);
        }
        if seen.slowdowns > own.slowdowns
            && let Some(slowdowns) = slowdowns
        {
            self.set_slowdowns(slowdowns.into_iter().collect());
        }
        if seen.outs > own.outs
            && let Some(outs) = outs
        {
            let kept = if self.is_restoring() { self.outs() } else { Vec::new() };
            self.set_outs(
                outs.into_iter().chain(kept).collect::<BTreeSet<_>>().into_iter().collect(),
            );
        }
        let mut state = self.lock();
        state.followed = state.followed.max(&seen);
        // Others hear from this entry of changes that it has not read from the store itself.
        state.latest_changes = state.latest_changes.max(&changed);
    }

    /// Marks upstreams as missing that another entry keeps although their registration disappeared.
    fn mark_missing(&self, ids: &[upstream::Id]) {
        if ids.is_empty() {
            return;
        }
        let mut state = self.lock();
        // The other entry has seen the end of an outage that this one has not.
        state.upstreams_regained_at = self.now();
        for id in ids {
            if let Some(candidate) = state.candidates.get_mut(id) {
                candidate.missing = true;
            }
        }
    }
}

impl Peers {
    pub(crate) async fn fetch_snapshot(&self, hub: &Arc<Hub>, address: SocketAddr) {
        self.merge_from(hub, address).await;
        self.lag.lock().unwrap_or_else(PoisonError::into_inner).fetching = false;
    }

    async fn merge_from(&self, hub: &Arc<Hub>, address: SocketAddr) {
        let mut known = Vec::new();
        if let Err(error) = ciborium::into_writer(&hub.followed_revisions(), &mut known) {
            log::error!("cannot encode the revisions for another entry: {error}");
            return;
        }
        let request = hyper::Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(hyper::header::HOST, address.to_string())
            .body(Body::new(known));
        let Ok(request) = request else { return };
        let response = self.client.fetch(address, request, TIMEOUT, SIZE_LIMIT).await;
        let copy = response.map_err(|error| error.to_string()).and_then(|response| {
            let copy: Copy =
                ciborium::from_reader(&response.body()[..]).map_err(|error| error.to_string())?;
            let configuration = copy.configuration.map(|packed| packed.unpack()).transpose()?;
            Ok((copy.snapshot, configuration, response.body().len()))
        });
        let fields = json!({
            "from": address.to_string(),
            "seen": copy.as_ref().ok().map(|(snapshot, ..)| format!("{:?}", snapshot.seen)),
            "bytes": copy.as_ref().ok().map(|(.., bytes)| *bytes),
            "fault": copy.as_ref().err(),
        });
        hub.journal.record(Priority::Important, "asked_entry", fields);
        if let Ok((snapshot, configuration, _)) = copy {
            if let Some(entries) = snapshot.entries.clone()
                && snapshot.seen.entries > hub.followed_revisions().entries
            {
                self.set_entries(hub, entries);
            }
            hub.merge_snapshot(snapshot, configuration);
        }
    }

    /// Responds to another entry, whose request has the revisions that it knows, with a snapshot of
    /// what was read from the store since.
    pub async fn serve_snapshot(self: Arc<Self>, hub: Arc<Hub>, request: Request) -> Response {
        let (memory, limit) = (&hub.memory, message::SIZE_LIMIT);
        let body = read_body(request.into_body(), limit, TIMEOUT, memory, Part::Peers, OWNER);
        let known = match body.await {
            Ok(body) => ciborium::from_reader(&body[..]).unwrap_or_default(),
            Err(problem) => return problem.into_response(),
        };
        let mut snapshot = hub.snapshot_since(&known);
        if snapshot.changed.entries > known.entries {
            snapshot.entries = Some((*self.entries()).clone());
        }
        let copy = Copy { snapshot, configuration: hub.packed_configuration(&known) };
        let mut encoded = Vec::new();
        if let Err(error) = ciborium::into_writer(&copy, &mut encoded) {
            log::error!("cannot encode the snapshot for another entry: {error}");
        }
        // Snapshots for several slow entries at once could exceed the memory: the oldest gives way.
        let held = hub.memory.hold(Part::Peers, OWNER, encoded);
        held.map_or_else(|| crowded().into_response(), Response::new)
    }
}

/// Returns whether an entry that has followed a kind up to `known` lacks something of what one knows
/// that has followed it up to `seen`, with its last change at `changed`. An entry that knows nothing
/// also lacks that there are no objects.
fn is_news(seen: Revision, changed: Revision, known: Revision) -> bool {
    changed > known || (known == 0 && seen > 0)
}
