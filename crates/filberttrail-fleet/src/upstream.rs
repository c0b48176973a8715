//! The registration of an upstream.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The id of an upstream. A restarted upstream usually has a new one.
pub type Id = String;
/// The Unix time at which an upstream started, in milliseconds by the upstream's own clock. It
/// distinguishes incarnations with the same id.
pub type Incarnation = u64;

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes its current requests before it stops, and accepts no new ones.
    Draining,
}

/// The membership of an upstream in a lock-step group, whose ranks run each forward pass together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group, which changes each time the group forms.
    pub epoch: u64,
    /// Number of the rank within the group, from 0.
    pub number: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group accepts requests.
    pub open: bool,
}

/// An upstream as it registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: Id,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address at which the upstream listens.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: String,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: State,
    /// Remaining time for which the upstream is cold, as of its last registration.
    pub cold_for: Duration,
    /// Incarnation of the upstream process.
    #[serde(rename = "born")]
    pub incarnation: Incarnation,
    /// Membership in a lock-step group, if the upstream is a rank of one.
    pub rank: Option<Rank>,
}
