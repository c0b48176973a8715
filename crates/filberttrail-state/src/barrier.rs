//! Ensures that all ranks of a group run each step with the same expert map.
//!
//! A step is a unit of work that all ranks run together. A map is first staged on all ranks and
//! then activated on the leader, rank 0 of the group.
//!
//! Invariant: the leader alone chooses the map version of a step and sends the version with the
//! step. A rank that has not staged this version holds the step: it does not run the step yet. No
//! step therefore mixes two versions, even if messages are delayed, duplicated or lost, or if ranks
//! restart. A version contains the fence of the lease holder that created it, so two holders never
//! use the same version for different maps.

use filberttrail_kernel::id::{Fence, MapVersion, Rank};
use std::collections::{BTreeMap, BTreeSet};

/// Number of low bits of a version that number one holder's maps. The fence is in the bits above.
const COUNT_BITS: u32 = 16;

/// Combines a fence and the number of one of its holder's maps into a version. Versions of
/// different holders differ, and a later holder's version is higher.
pub fn build_version(fence: Fence, count: u16) -> MapVersion {
    (fence << COUNT_BITS) | MapVersion::from(count)
}

/// Returns the fence of the lease holder that created a version.
pub fn fence_of(version: MapVersion) -> Fence {
    version >> COUNT_BITS
}

/// A rank's response to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// The rank has staged the version and runs the step with it.
    Ready,
    /// The rank has not staged the version and does not run the step yet.
    Hold,
}

/// The versions that one rank has staged, at most the newest `STAGED_LIMIT`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Staging {
    fence: Fence,
    staged: BTreeSet<MapVersion>,
}

/// Number of maps that a rank keeps: the previous, the active and the next one.
pub const STAGED_LIMIT: usize = 3;

impl Staging {
    /// Creates the state of a rank that has staged no maps and knows no fence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stages a map and returns whether it is kept.
    ///
    /// A map is rejected if a higher fence than its own is known, or if it is older than all
    /// `STAGED_LIMIT` maps that are kept.
    pub fn stage(&mut self, version: MapVersion) -> bool {
        let fence = fence_of(version);
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        self.staged.insert(version);
        while self.staged.len() > STAGED_LIMIT {
            self.staged.pop_first();
        }
        self.staged.contains(&version)
    }

    /// Returns whether a version may be activated: it is staged, and no higher fence than its own
    /// is known.
    pub fn may_activate(&self, version: MapVersion) -> bool {
        fence_of(version) >= self.fence && self.staged.contains(&version)
    }

    /// Rejects maps with a lower fence than this one from now on.
    pub fn raise_fence(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    /// Returns whether this rank can run a step with the given version.
    pub fn readiness(&self, version: MapVersion) -> Readiness {
        if self.staged.contains(&version) { Readiness::Ready } else { Readiness::Hold }
    }

    /// Returns the staged versions in ascending order.
    pub fn staged(&self) -> impl Iterator<Item = MapVersion> + '_ {
        self.staged.iter().copied()
    }
}

/// The lease holder's view of a group: the active version, the proposed one, and which ranks have
/// staged it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Rollout {
    active: MapVersion,
    proposed: Option<MapVersion>,
    staged: BTreeMap<Rank, MapVersion>,
    ranks: u32,
}

impl Rollout {
    /// Creates the state of a group with the given number of ranks and active version.
    pub fn new(ranks: u32, active: MapVersion) -> Self {
        Self { active, ranks, ..Self::default() }
    }

    /// Proposes a version for staging and returns whether it is accepted. A version below the
    /// active or the proposed one is rejected; this covers versions of earlier holders.
    pub fn propose(&mut self, version: MapVersion) -> bool {
        let newest = self.proposed.unwrap_or(self.active).max(self.active);
        if version < newest {
            return false;
        }
        if version > newest {
            self.proposed = Some(version);
        }
        true
    }

    /// Records that a rank has staged a version. Makes the version active and returns `true` once
    /// all ranks have staged it.
    pub fn record_staged(&mut self, rank: Rank, version: MapVersion) -> bool {
        if rank >= self.ranks || self.proposed != Some(version) {
            return false;
        }
        self.staged.insert(rank, version);
        let all = (0..self.ranks).all(|rank| self.staged.get(&rank) == Some(&version));
        if all {
            self.active = version;
            self.proposed = None;
            self.staged.clear();
        }
        all
    }

    /// Records that a rank has restarted and so lost its staged maps.
    pub fn record_restart(&mut self, rank: Rank) {
        self.staged.remove(&rank);
    }

    /// Returns the version that the next step is to run with.
    pub fn active(&self) -> MapVersion {
        self.active
    }

    /// Returns the version that is being staged, if any.
    pub fn proposed(&self) -> Option<MapVersion> {
        self.proposed
    }
}
