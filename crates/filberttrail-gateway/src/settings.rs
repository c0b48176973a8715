//! Settings of a gateway process.

use filberttrail_fleet::budget;
use filberttrail_kernel::Disabled;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a gateway, as decoded from its settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the gateway, unique among all entries.
    pub name: String,
    /// Data centre in which the gateway runs.
    pub data_centre: String,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for other entries: UDP for loads, HTTP for snapshots.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Grace period: maximum time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Retry budget of each service, summed over all entries.
    pub retries: budget::Terms,
    /// Factor on the rate of requests that a cold upstream can handle, up to which it may be
    /// loaded.
    pub cold_overshoot: f64,
    /// Rate by which that limit may be exceeded in addition, in requests per second.
    pub cold_slack: f64,
    /// Time within which an acknowledged configuration has to be in force.
    pub apply_within: Duration,
    /// Time without a sign of life after which the registration of an entry is questioned, to be
    /// removed unless the entry registers again.
    pub retention: Duration,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Memory of the process, in bytes. Parts of it bound what is held for callers and other entries.
    pub memory_bytes: usize,
    /// Path of the readiness endpoint.
    pub readiness_path: String,
    /// The mechanisms that tests disable. Only [`Mechanism::Blame`](filberttrail_kernel::Mechanism) is
    /// one of gateways.
    pub disabled: Disabled,
}
