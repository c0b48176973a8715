//! Identifiers. Most are type aliases that document which kind of id a signature expects.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies one run of a process or an engine; a restart yields another value.
pub type Incarnation = u64;
/// The request header that carries the engine incarnation an attempt is addressed to.
///
/// An engine with another incarnation rejects the request with status 412 before it runs, and
/// returns its own incarnation in the same header.
pub const ENGINE_INCARNATION_HEADER: &str = "filberttrail-engine-life";
/// The number of a configuration accepted by the platform; strictly increasing.
pub type Generation = u64;
/// The version that the platform assigned to an object at its last write.
pub type Version = u64;
/// A fencing token: each new holder of a lease gets a higher value.
pub type Fence = u64;
/// The name of an upstream.
pub type UpstreamName = String;
/// The name of a data centre.
pub type DataCentreName = String;
/// The name of a team.
pub type TeamName = String;
/// The version of a group's expert map; a newer map has a higher value.
pub type MapVersion = u64;
/// The index of a rank within its group, from 0.
pub type Rank = u32;

/// Identifies one attempt to run a request on an upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{owner:016x}-{number}")]
pub struct Attempt {
    /// The incarnation of the entry that made the attempt.
    pub owner: Incarnation,
    /// The attempt's sequence number within that incarnation.
    pub number: u64,
}
