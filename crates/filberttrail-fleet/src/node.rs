//! An upstream and what this entry believes of it.

use crate::upstream::State;
use crate::{Health, Upstream, Window};
use std::time::Duration;

/// The span of the bound on requests to a cold upstream.
const COLD_SPAN: Duration = Duration::from_millis(1_000);

/// An upstream with an entry's beliefs.
#[derive(Debug)]
pub struct Node {
    /// What the upstream registered.
    pub upstream: Upstream,
    /// Requests of this entry that it works on.
    pub mine: u32,
    /// Requests of other entries that it works on, as last heard.
    pub others: u32,
    /// What its answers say.
    pub health: Health,
    /// Requests sent within the last second.
    pub sent: Window,
    /// Whether its registration vanished while the store was not to be trusted.
    pub missing: bool,
    /// Whether another upstream has answered at its address.
    pub replaced: bool,
    /// The smoothed pause between events of its streams.
    pub gap: Option<Duration>,
    /// How much longer it takes for the same work than a sound one, as its rebalancer tells.
    pub pace: f64,
    /// When it last answered as it should.
    pub answered: Option<Duration>,
}

impl Node {
    /// Starts with what an upstream registered.
    pub fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            mine: 0,
            others: 0,
            health: Health::new(),
            sent: Window::new(COLD_SPAN),
            missing: false,
            replaced: false,
            gap: None,
            pace: 1.0,
            answered: None,
        }
    }

    /// Takes in a newer registration; another incarnation starts with clean beliefs.
    pub fn update(&mut self, upstream: Upstream) {
        self.missing = false;
        self.replaced = false;
        if upstream.creation_revision != self.upstream.creation_revision {
            self.health = Health::new();
            self.gap = None;
            self.pace = 1.0;
        }
        self.upstream = upstream;
    }

    /// Returns the requests that it works on.
    pub fn running(&self) -> u32 {
        self.mine + self.others
    }

    /// Returns whether it takes new work at all.
    pub fn open(&self) -> bool {
        self.upstream.state == State::Ready
            && self.upstream.rank.as_ref().is_none_or(|rank| rank.open)
    }
}
