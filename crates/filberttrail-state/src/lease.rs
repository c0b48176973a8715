//! A lease, held by one process at a time and stored in an object of the platform.
//!
//! Invariants: each holder gets a higher fence than all holders before it. A holder's own clock can
//! end a lease early but never extend it. Clocks of different VMs are never compared: a candidate
//! may acquire the lease only after it has itself observed the object unchanged for a whole term.

use filberttrail_kernel::id::{Fence, Version};
use std::time::Duration;

/// How long a candidate must observe the lease object unchanged before it may acquire the lease.
pub const TERM: Duration = Duration::from_secs(6);
/// Interval between renewals by the holder.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(2);
/// How long a holder may act after the start of its last successful renewal. This is shorter than
/// `TERM`, so a holder stops before a candidate can take over.
pub const VALIDITY: Duration = Duration::from_secs(4);

/// One process's view of a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    observed: Option<(Version, Option<Duration>)>,
    held: Option<(Fence, Duration)>,
}

impl Lease {
    /// Creates the view of a process that has not read the lease object yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version of the lease object as read, or `None` if the object does not exist.
    pub fn observe(&mut self, version: Option<Version>, now: Duration) {
        let Some(version) = version else {
            // The lease was never held, so it can be acquired without waiting for a term.
            self.observed = Some((0, None));
            return;
        };
        if self.observed.is_none_or(|(observed, _)| observed != version) {
            self.observed = Some((version, Some(now)));
        }
    }

    /// Returns the object version to replace if the lease may be acquired. Version 0 stands for an
    /// object that does not exist.
    pub fn acquirable_version(&self, now: Duration) -> Option<Version> {
        let (version, since) = self.observed?;
        let waited = since.is_none_or(|since| now.saturating_sub(since) >= TERM);
        waited.then_some(version)
    }

    /// Returns the fence of the holder that replaces a version. Versions only rise, so fences do
    /// too.
    pub fn next_fence(version: Version) -> Fence {
        version + 1
    }

    /// Records that a write acquired the lease. `started_at` is the time when the write started,
    /// `version` the object version after it.
    pub fn record_acquisition(&mut self, fence: Fence, version: Version, started_at: Duration) {
        self.held = Some((fence, started_at));
        self.observed = Some((version, Some(started_at)));
    }

    /// Records a successful renewal that started at `started_at` and wrote `version`.
    pub fn record_renewal(&mut self, version: Version, started_at: Duration) {
        if let Some((_, since)) = &mut self.held {
            *since = started_at;
            self.observed = Some((version, Some(started_at)));
        }
    }

    /// Records that another process holds the lease.
    pub fn mark_lost(&mut self) {
        self.held = None;
    }

    /// Returns the fence if this process holds the lease and its last renewal is recent enough.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let (fence, since) = self.held?;
        (now.saturating_sub(since) < VALIDITY).then_some(fence)
    }
}
