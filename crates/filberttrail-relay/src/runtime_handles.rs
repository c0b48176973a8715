//! The two Tokio runtimes of a process. Control tasks have their own thread, separate from traffic.

use tokio::runtime::Handle;

/// Handles of the runtimes for control tasks and for traffic.
#[derive(Debug, Clone)]
pub struct RuntimeHandles {
    /// Runtime with one worker thread, for configuration, claims and leases.
    pub control: Handle,
    /// Runtime with several worker threads, for requests and responses.
    pub traffic: Handle,
}

impl RuntimeHandles {
    /// Combines the handles of the two runtimes.
    pub fn new(control: Handle, traffic: Handle) -> Self {
        Self { control, traffic }
    }
}
