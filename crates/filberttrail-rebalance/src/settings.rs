//! Settings of a rebalancer process.

use std::net::SocketAddr;

/// Settings of a rebalancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process; unique in the deployment.
    pub name: String,
    /// Address of the engine that runs beside this rebalancer.
    pub engine: SocketAddr,
    /// Name of the service that the engine belongs to.
    pub service: String,
    /// Address for calls from other rebalancers. All rebalancers use the same port.
    pub listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, with a store that holds no objects of
    /// it.
    pub first_start: bool,
    /// Memory of the VM, in bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors that are not reserved for files.
    pub descriptors: usize,
}
