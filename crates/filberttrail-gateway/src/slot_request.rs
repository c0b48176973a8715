//! Requests for a slot of an upstream, and their refusal.

use filberttrail_fleet::admission;
use std::time::Duration;

/// A request for a slot of an upstream.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Name of the service.
    pub service: String,
    /// The properties that decide on admission.
    pub admission: admission::Request,
}

/// The refusal of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal, for logs and metrics.
    pub cause: &'static str,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Cause of the refusal of a request that crashes upstreams, or has a part that does.
    pub const HARMFUL: &str = "the request or a part of its prompt crashes upstreams";
    /// Cause of the refusal of a request that may crash upstreams, or has a part that may.
    pub const SUSPECT: &str = "the request or a part of its prompt may crash upstreams";

    /// Returns the title of the response.
    pub fn title(&self) -> &'static str {
        match self.cause {
            Self::HARMFUL | Self::SUSPECT => "harmful request",
            _ => "no room",
        }
    }
}
