//! Services: each is a set of upstreams that respond to the same requests.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The unique name of a service.
pub type Name = String;

/// A service and the limits of its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name of the service.
    pub name: Name,
    /// Maximum number of connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// Time for which an upstream is cold after its start.
    pub cold_for: Duration,
    /// Requests per second that a cold upstream can handle, or 0 if upstreams are never cold.
    pub cold_rate: f64,
    /// Whether the upstreams are ranks of lock-step groups, which run each forward pass together.
    pub lock_step: bool,
}
