//! Input of a routing policy: a request and the upstreams that can serve it.

use std::time::Duration;

/// A request to route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// Sequence number of the request at this entry.
    pub sequence: u64,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefixes: Vec<u64>,
}

/// An upstream that can serve the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Stable hash of the upstream's name.
    pub id: u64,
    /// Requests in flight from all entries, as last reported by the upstream.
    pub reported_load: u32,
    /// Unfinished requests that this entry has sent to the upstream since that report.
    pub sent_since_report: u32,
    /// Maximum number of concurrent requests of the upstream.
    pub concurrency_limit: u32,
    /// Time between two output tokens of a request.
    pub step_time: Duration,
    /// Network round-trip time to the upstream.
    pub round_trip: Duration,
    /// Estimated number of the prompt's tokens in the upstream's prefix cache.
    pub cached_tokens: u64,
}

impl Candidate {
    /// Estimates the number of requests in flight now.
    pub fn in_flight(&self) -> u32 {
        self.reported_load + self.sent_since_report
    }

    /// Returns whether the upstream has capacity for one more request.
    pub fn has_room(&self) -> bool {
        self.in_flight() < self.concurrency_limit
    }
}
