//! How current an entry's knowledge of the store is, and what it proves to other entries.
//!
//! Load pattern: a change has to be in force at all entries within seconds, also if the watches of
//! all of them were lost at the same moment, and asking the store has a price. So one entry asks,
//! and tells the others how long ago the store answered that there were no later changes than those
//! that it knows. An entry that knows these changes is as current.

use crate::snapshot::Progress;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An age in milliseconds; `None` if there was no proof yet.
pub type Age = Option<u32>;

/// The time since the knowledge of each kind of object was last proven to be current.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[Age; 5]", into = "[Age; 5]")]
pub struct Ages {
    /// Age of the proof for the upstreams.
    pub upstreams: Age,
    /// Age of the proof for the configuration.
    pub configuration: Age,
    /// Age of the proof for the data centres that are out of service.
    pub outs: Age,
    /// Age of the proof for the slow upstreams.
    pub slowdowns: Age,
    /// Age of the proof for the registrations of entries.
    pub entries: Age,
}

impl Ages {
    /// Returns the ages that hold for an entry that has followed the store up to `followed`, if
    /// these are the ages of one whose last known changes are `changed`.
    pub fn held_by(&self, followed: &Progress, changed: &Progress) -> Self {
        let keep = |age: Age, followed, changed| age.filter(|_| followed >= changed);
        Self {
            upstreams: keep(self.upstreams, followed.upstreams, changed.upstreams),
            configuration: keep(self.configuration, followed.configuration, changed.configuration),
            outs: keep(self.outs, followed.outs, changed.outs),
            slowdowns: keep(self.slowdowns, followed.slowdowns, changed.slowdowns),
            entries: keep(self.entries, followed.entries, changed.entries),
        }
    }

    /// Returns the age of the oldest proof among the kinds whose changes have to be in force within
    /// a bound; `None` if one of them has no proof.
    pub fn oldest_bounded(&self) -> Option<Duration> {
        let age = self.upstreams?.max(self.configuration?).max(self.outs?);
        Some(Duration::from_millis(u64::from(age)))
    }
}

impl From<[Age; 5]> for Ages {
    fn from([upstreams, configuration, outs, slowdowns, entries]: [Age; 5]) -> Self {
        Self { upstreams, configuration, outs, slowdowns, entries }
    }
}

impl From<Ages> for [Age; 5] {
    fn from(ages: Ages) -> Self {
        let Ages { upstreams, configuration, outs, slowdowns, entries } = ages;
        [upstreams, configuration, outs, slowdowns, entries]
    }
}
