//! Services: each is a set of upstreams that respond to the same requests.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The unique name of a service.
pub type Name = String;

/// A service and the limits of its upstreams.
///
/// `connections`, `cold_for` and `lock_step` are informational: they are decoded and exchanged
/// between entries, but no decision depends on them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name of the service.
    pub name: Name,
    /// Maximum number of connections that one upstream accepts, from all entries together.
    pub connections: u32,
    /// Time after its start for which an upstream is cold, that is, handles fewer requests than a
    /// warm one.
    pub cold_for: Duration,
    /// Requests per second that a cold upstream can handle, or 0 if its upstreams are never cold.
    pub cold_rate: f64,
    /// Whether the upstreams are ranks of lock-step groups. A lock-step group is a set of engines,
    /// its ranks, that run each forward pass of a model together.
    pub lock_step: bool,
}
