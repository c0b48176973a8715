//! The upstream that a request was sent to.

use crate::permit::Permit;
use filberttrail_fleet::upstream;
use std::net::SocketAddr;

/// One incarnation of an upstream, as a request was sent to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the upstream.
    pub id: upstream::Id,
    /// Incarnation of the upstream.
    pub incarnation: upstream::Incarnation,
    /// Address of the upstream.
    pub address: SocketAddr,
}

impl Target {
    /// Returns the upstream of a permit.
    pub fn new(permit: &Permit) -> Self {
        let Permit { id, incarnation, address, .. } = permit;
        Self { id: id.clone(), incarnation: *incarnation, address: *address }
    }
}
