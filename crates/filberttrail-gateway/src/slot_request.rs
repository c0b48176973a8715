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
    /// Cause of the refusal of a request with a prompt part that crashes upstreams.
    pub const HARMFUL_PROMPT: &str = "a part of the prompt crashes upstreams";
    /// Cause of the refusal of a request with a prompt part that may crash upstreams.
    pub const SUSPECT_PROMPT: &str = "a part of the prompt may crash upstreams";

    /// Returns the title of the response.
    pub fn title(&self) -> &'static str {
        match self.cause {
            Self::HARMFUL_PROMPT | Self::SUSPECT_PROMPT => "harmful prompt",
            _ => "no room",
        }
    }
}
