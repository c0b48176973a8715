//! The stored plan of the map change that is in progress for a group.

use crate::report::{Assignment, Pass, Version};
use filberttrail_store::feed::Revision;
use filberttrail_store::revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change of a group's map.
///
/// Invariant: a version identifies one map. A version is greater than the revision that the store
/// object had when the plan was written, and the write succeeds only at that revision, so no two
/// plans share a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The group's epoch for which the plan was made.
    pub epoch: u64,
    /// The version of the new map.
    pub version: Version,
    /// Expert numbers by layer and rank.
    pub map: Arc<Assignment>,
    /// The pass from which on all ranks use the new map, once it is scheduled. It is stored before
    /// any rank is armed.
    #[serde(rename = "switch")]
    pub switch_pass: Option<Pass>,
    /// The rank whose engine holds the group before the switch.
    pub holder: usize,
    /// The name of the process that last wrote the plan.
    pub writer: String,
}

impl Plan {
    /// Returns whether the plan was made in the store's current era, that of the object's revision.
    pub fn is_current(&self, revision: Revision) -> bool {
        revision::era(self.version) >= revision::era(revision)
    }

    /// Returns whether the plan was adopted from ranks that were armed for it, without its map.
    pub fn is_adopted(&self) -> bool {
        self.map.is_empty()
    }
}
