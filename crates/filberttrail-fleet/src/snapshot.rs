//! The state that an entry has read from the store, as it sends it to entries that cannot reach the
//! store.

use crate::{Configuration, Upstream};
use serde::{Deserialize, Serialize};

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
}

impl Progress {
    /// Returns the higher revision of each kind.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            upstreams: self.upstreams.max(other.upstreams),
            configuration: self.configuration.max(other.configuration),
            outs: self.outs.max(other.outs),
        }
    }

    /// Returns whether any kind has a higher revision than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.upstreams > other.upstreams
            || self.configuration > other.configuration
            || self.outs > other.outs
    }
}

/// All state that an entry has read from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revisions up to which the entry has followed the store.
    pub seen: Progress,
    /// The active configuration, if the entry knows it.
    pub configuration: Option<Configuration>,
    /// All registered upstreams.
    pub upstreams: Vec<Upstream>,
    /// The data centres that are out of service.
    pub outs: Vec<String>,
}
