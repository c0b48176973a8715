//! Ids, as aliases: the names tell them apart where the types cannot.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One life of a process, or of an engine: another value after each restart.
pub type Incarnation = u64;
/// The request header that names the engine life an attempt is meant for. An engine that is in another
/// life refuses with 412 before it starts, and names its own life in the same header.
pub const ENGINE_INCARNATION_HEADER: &str = "filberttrail-engine-life";
/// Counts the configurations accepted by the platform; it only rises.
pub type Generation = u64;
/// The version that the platform gave an object at its last write.
pub type Version = u64;
/// Orders the holders of a lease; a later holder's is higher.
pub type Fence = u64;
/// The name of an upstream.
pub type UpstreamName = String;
/// The name of a data centre.
pub type DataCentreName = String;
/// The name of a team.
pub type TeamName = String;
/// The version of a group's expert map.
pub type MapVersion = u64;
/// The number of a rank within its group.
pub type Rank = u32;

/// One try to have an upstream run a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{owner:016x}-{number}")]
pub struct Attempt {
    /// The life of the entry that made the attempt.
    pub owner: Incarnation,
    /// Counts the attempts of that life.
    pub number: u64,
}
