//! Names of the platform's HTTP headers.

use hyper::header::HeaderName;

/// The names of the headers that carry what standard HTTP headers do not cover.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Request id, which a response repeats.
    pub request: HeaderName,
    /// Time left until the deadline of the response, in milliseconds.
    pub left_ms: HeaderName,
    /// Id of the upstream that a request is addressed to. Any other upstream refuses the request.
    pub instance: HeaderName,
    /// Id of the upstream that sent a response.
    pub responding_upstream: HeaderName,
    /// Name of the caller's team.
    pub team: HeaderName,
    /// Signature of a response by its upstream.
    pub signature: HeaderName,
    /// Present on a response if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Sequence number of the last event that the caller of a stream has received.
    pub after_event: HeaderName,
    /// Id of the rank that caused a refusal.
    pub at_fault: HeaderName,
    /// Urgency of a request for the upstream, where 0 is the most urgent. It is removed from
    /// callers' requests; the gateway does not set it.
    pub urgency: HeaderName,
    /// Present on every response of an upstream that is about to stop, with the value `1`.
    pub leaving: HeaderName,
    /// Requests per second that a responding upstream in need takes from all entries together.
    pub limit: HeaderName,
    /// The parts of a request's prompt, in order.
    pub prompt: HeaderName,
    /// Load of the responding upstream: requests running, requests waiting, and slots.
    pub load: HeaderName,
}
