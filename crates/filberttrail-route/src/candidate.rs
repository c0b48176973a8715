//! What a policy knows of a request and of the upstreams that could run it.

use std::time::Duration;

/// A request to route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// Counts the requests of the entry.
    pub sequence: u64,
    /// Tokens of its prompt, estimated.
    pub prompt_tokens: u64,
    /// Hashes of its prompt's beginnings, the shortest first.
    pub prefixes: Vec<u64>,
}

/// An upstream that could run it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// A stable hash of its name.
    pub id: u64,
    /// Requests in flight, of all entries, as last reported.
    pub reported_load: u32,
    /// Requests that this entry has sent it since that report and that have not ended.
    pub sent_since_report: u32,
    /// Requests that it bears.
    pub concurrency_limit: u32,
    /// Time between its tokens.
    pub step_time: Duration,
    /// Time to reach it and back.
    pub round_trip: Duration,
    /// Tokens of the prompt that this entry believes it has cached.
    pub cached_tokens: u64,
}

impl Candidate {
    /// Estimates the requests in flight now.
    pub fn in_flight(&self) -> u32 {
        self.reported_load + self.sent_since_report
    }

    /// Tells whether it bears one more.
    pub fn has_room(&self) -> bool {
        self.in_flight() < self.concurrency_limit
    }
}
