//! The state that an entry has read from the store, as it sends it to entries that cannot reach the
//! store.

use crate::{Upstream, upstream};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The revision of a change in the store.
pub type Revision = u64;

/// The revision up to which an entry has followed each kind of object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the upstreams.
    pub upstreams: Revision,
    /// Revision of the configuration.
    pub configuration: Revision,
    /// Revision of the data centres that are out of service.
    pub outs: Revision,
    /// Revision of the slow upstreams.
    pub slowdowns: Revision,
    /// Revision of the registrations of entries.
    pub entries: Revision,
}

impl Progress {
    /// Returns the higher revision of each kind.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            upstreams: self.upstreams.max(other.upstreams),
            configuration: self.configuration.max(other.configuration),
            outs: self.outs.max(other.outs),
            slowdowns: self.slowdowns.max(other.slowdowns),
            entries: self.entries.max(other.entries),
        }
    }

    /// Returns whether any kind has a higher revision than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.upstreams > other.upstreams
            || self.configuration > other.configuration
            || self.outs > other.outs
            || self.slowdowns > other.slowdowns
            || self.entries > other.entries
    }
}

/// The registration of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address for messages and snapshots.
    pub address: SocketAddr,
    /// Data centre in which the entry runs.
    pub data_centre: String,
    /// Whether others ask it for a sign of life (see [`crate::presence`]).
    #[serde(default)]
    pub questioned: bool,
}

/// The state that an entry has read from the store, except for the configuration. Parts that the
/// receiver has already are left out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revisions up to which the entry has followed the store.
    pub seen: Progress,
    /// Revisions of the last changes that the entry knows.
    pub changed: Progress,
    /// All registered upstreams.
    pub upstreams: Option<Vec<Upstream>>,
    /// Those of the upstreams whose registration was missing after an outage of the store, and which
    /// are kept for a while.
    #[serde(default)]
    pub missing: Vec<upstream::Id>,
    /// The data centres that are out of service.
    pub outs: Option<Vec<String>>,
    /// The slowdown factors of slow upstreams, by address.
    pub slowdowns: Option<Vec<(SocketAddr, f64)>>,
    /// The registered entries, by name.
    pub entries: Option<BTreeMap<String, Entry>>,
}
