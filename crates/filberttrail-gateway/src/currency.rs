//! The proofs that this entry's knowledge of the store is current: its own calls and those of other
//! entries.

use crate::Hub;
use crate::hub::TRANSIT_LIMIT;
use filberttrail_fleet::currency::{Age, Ages};
use filberttrail_fleet::snapshot::Progress;
use filberttrail_kernel::clock;
use filberttrail_store::Proof;
use std::sync::Arc;
use std::time::Duration;

/// The last proof for each kind of object.
pub struct Currency {
    /// Proof for the upstreams.
    pub upstreams: Arc<Proof>,
    /// Proof for the configuration.
    pub configuration: Arc<Proof>,
    /// Proof for the data centres that are out of service.
    pub outs: Arc<Proof>,
    /// Proof for the slow upstreams.
    pub slowdowns: Arc<Proof>,
    /// Proof for the registrations of entries.
    pub entries: Arc<Proof>,
}

impl Currency {
    /// Creates the state of an entry that has not read anything.
    pub fn new(clock: &clock::Shared) -> Self {
        let proof = || Proof::new(clock.clone());
        let (upstreams, configuration, outs) = (proof(), proof(), proof());
        Self { upstreams, configuration, outs, slowdowns: proof(), entries: proof() }
    }

    /// Returns the ages of the proofs.
    pub fn ages(&self) -> Ages {
        let age = |proof: &Proof| -> Age {
            let age = proof.now().saturating_sub(proof.proven_at()?);
            Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
        };
        Ages {
            upstreams: age(&self.upstreams),
            configuration: age(&self.configuration),
            outs: age(&self.outs),
            slowdowns: age(&self.slowdowns),
            entries: age(&self.entries),
        }
    }

    /// Records proofs that another entry told, whose ages count from the time `at`.
    pub fn record(&self, at: Duration, ages: &Ages) {
        let pairs = [
            (&self.upstreams, ages.upstreams),
            (&self.configuration, ages.configuration),
            (&self.outs, ages.outs),
            (&self.slowdowns, ages.slowdowns),
            (&self.entries, ages.entries),
        ];
        for (proof, age) in pairs {
            let proven_at =
                age.and_then(|age| at.checked_sub(Duration::from_millis(u64::from(age))));
            if let Some(proven_at) = proven_at {
                proof.record(proven_at);
            }
        }
    }
}

impl Hub {
    /// Records what another entry's message proves. `changed` are the last changes that it knows.
    /// The ages count from the time at which this entry has asked for the message, if it has.
    ///
    /// Returns the time at which the knowledge whose changes have a bound was proven to be current
    /// by the message.
    pub fn accept_proofs(
        &self,
        asked_at: Option<Duration>,
        ages: &Ages,
        changed: &Progress,
    ) -> Option<Duration> {
        let now = self.now();
        // Without a question, a message may have waited for as long as this process was paused.
        if asked_at.is_none() && self.is_stale() {
            return None;
        }
        let at = asked_at.unwrap_or(now.saturating_sub(TRANSIT_LIMIT)).min(now);
        let held = ages.held_by(&self.followed_revisions(), changed);
        self.currency.record(at, &held);
        at.checked_sub(held.oldest_bounded()?)
    }
}
