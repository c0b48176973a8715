//! An upstream as a candidate for requests, with what this entry has observed of it.

use crate::upstream::State;
use crate::{Health, Intake, Upstream, Window};
use std::time::Duration;

/// Span over which sends are counted for the rate limit that protects cold upstreams.
const SEND_RATE_SPAN: Duration = Duration::from_millis(1_000);

/// An upstream and its state as one entry observes it.
#[derive(Debug)]
pub struct Candidate {
    /// The registration of the upstream.
    pub upstream: Upstream,
    /// Number of this entry's requests in flight.
    pub own_requests: u32,
    /// Number of other entries' requests in flight, as they last reported it.
    pub peer_requests: u32,
    /// Health, derived from the responses.
    pub health: Health,
    /// Requests that this entry sent within the last second.
    pub recent_sends: Window,
    /// Whether this entry is in the upstream's subset of entries.
    pub in_subset: bool,
    /// Whether the registration disappeared while the store was unavailable or had just
    /// recovered.
    pub missing: bool,
    /// How much the upstream takes of this entry.
    pub intake: Intake,
    /// Whether another upstream has responded at this one's address.
    pub replaced: bool,
    /// Time of the last event of a stream from the upstream.
    pub last_event: Option<Duration>,
    /// Smoothed interval between the events of the upstream's streams.
    pub event_interval: Option<Duration>,
    /// Factor by which the upstream takes longer than one at full speed, as its rebalancer reports
    /// it.
    pub slowdown: f64,
    /// Time of the last successful response.
    pub last_success: Option<Duration>,
}

impl Candidate {
    /// Creates a candidate without observations from a registration.
    pub fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            own_requests: 0,
            peer_requests: 0,
            health: Health::new(),
            recent_sends: Window::new(SEND_RATE_SPAN),
            in_subset: true,
            missing: false,
            intake: Intake::new(),
            replaced: false,
            last_event: None,
            event_interval: None,
            slowdown: 1.0,
            last_success: None,
        }
    }

    /// Replaces the registration. Observations of an earlier incarnation are discarded.
    pub fn update(&mut self, upstream: Upstream) {
        self.missing = false;
        self.replaced = false;
        if upstream.incarnation != self.upstream.incarnation {
            self.intake.reset();
            self.health = Health::new();
            self.event_interval = None;
            self.slowdown = 1.0;
        }
        self.upstream = upstream;
    }

    /// Returns the number of requests in flight, from all entries.
    pub fn count_in_flight(&self) -> u32 {
        self.own_requests.saturating_add(self.peer_requests)
    }

    /// Returns whether the upstream has said that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.upstream.state != State::Ready || self.intake.leaving
    }

    /// Returns whether the upstream, and its group if it has one, accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.upstream.state == State::Ready
            && !self.intake.leaving
            && self.upstream.rank.as_ref().is_none_or(|rank| rank.open)
    }
}
