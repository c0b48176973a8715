//! Objects by which rebalancers report slow upstreams to entries.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The kind of the objects that report slow upstreams: one object per rebalancer, which exists only
/// while its upstream is slow.
pub const KIND: &str = "filberttrail-paces";

/// The report of one slow upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slowdown {
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    /// The time for a unit of work divided by that of a healthy upstream; above 1 if slow.
    #[serde(rename = "pace")]
    pub factor: f64,
}
