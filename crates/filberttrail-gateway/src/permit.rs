//! A slot of an upstream that is reserved for one request.

use crate::Hub;
use filberttrail_fleet::upstream;
use std::net::SocketAddr;
use std::sync::Arc;

/// A reserved slot, which is released when dropped.
pub struct Permit {
    hub: Arc<Hub>,
    /// Id of the upstream.
    pub id: upstream::Id,
    /// Incarnation of the upstream.
    pub incarnation: upstream::Incarnation,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream's service.
    pub service: String,
}

impl Permit {
    /// Wraps a slot that the hub has already counted as in use.
    pub fn new(hub: Arc<Hub>, upstream: &filberttrail_fleet::Upstream) -> Self {
        Self {
            hub,
            id: upstream.id.clone(),
            incarnation: upstream.incarnation,
            address: upstream.address,
            service: upstream.service.clone(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.hub.release(&self.id, &self.service);
    }
}
