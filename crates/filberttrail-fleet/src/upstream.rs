//! An upstream as it registered itself.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The id of an upstream; a new start mostly brings a new one.
pub type Id = String;
/// When an upstream started, in milliseconds of its own time of day; tells incarnations apart.
pub type CreationRevision = u64;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A rank's place in its lock-step group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// The name of the group.
    pub group: String,
    /// The group's epoch; a new one each time that it forms.
    pub epoch: u64,
    /// The rank's number.
    pub number: u32,
    /// Ranks of the group.
    pub size: u32,
    /// Whether the group takes requests.
    pub open: bool,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: Id,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold.
    pub cold_for: Duration,
    /// Its incarnation.
    #[serde(rename = "born")]
    pub creation_revision: CreationRevision,
    /// Its place in a group, if it is a rank.
    pub rank: Option<Rank>,
}
