//! Routes: they map the requests of a host and path prefix to services.

use crate::service;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Requests that must run at most once.
    Unsafe,
    /// Requests whose response is a stream of events.
    Stream,
}

/// A route and the limits of its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name of the route.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the requests' paths.
    pub prefix: String,
    /// Whether the requests may be repeated.
    pub kind: Kind,
    /// Longest time until the end of a response.
    pub timeout: Duration,
    /// Target latency. For a stream, it is the time until the first event.
    pub target: Duration,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// The services that get the requests, with their weights.
    pub split: Vec<(service::Name, u32)>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumes: bool,
}

impl Route {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumes,
        }
    }

    /// Picks a service by weight. `request_hash` is the same for each send of a request, so the
    /// service is as well. Returns nothing if all weights are 0.
    pub fn pick_service(&self, request_hash: u64) -> Option<&service::Name> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = request_hash.checked_rem(total)?;
        self.split
            .iter()
            .find(|(_, weight)| {
                let is_in_range = remaining < u64::from(*weight);
                remaining = remaining.saturating_sub(u64::from(*weight));
                is_in_range
            })
            .map(|(name, _)| name)
    }
}
