//! What an engine reports of itself as a rank.

use serde::{Deserialize, Serialize};

/// The number of a map.
pub type Version = u64;
/// The number of a pass.
pub type Pass = u64;

/// A rank's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The name of its group.
    pub group: String,
    /// The group's epoch.
    pub epoch: u64,
    /// The rank's number.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Whether the group serves.
    pub open: bool,
    /// The incarnation of the engine.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// How much longer it takes for the same work than a sound one.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// The last pass that was begun.
    pub pass: Pass,
    /// The version of the map in use.
    pub map: Version,
    /// The version of the map that is copied and ready.
    pub prepared: Option<Version>,
    /// The version and the pass of the switch that it is armed for.
    pub armed: Option<(Version, Pass)>,
    /// The pass that it holds the group before.
    pub held: Option<Pass>,
}

/// How often a rank's requests chose each expert since the rank started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The group's epoch.
    pub epoch: u64,
    /// Every layer's experts, one after the other.
    pub counts: Vec<u64>,
}

/// The experts that a rank holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The group's epoch.
    pub epoch: u64,
    /// The version of the map.
    pub version: Version,
    /// The experts of each layer.
    pub layers: Vec<Vec<u32>>,
}

/// What is known of a model's experts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Layers with maps of their own.
    pub layers: usize,
    /// Experts of a layer.
    pub experts: usize,
    /// Slots of a rank in a layer.
    pub slots: usize,
    /// Experts of a layer that a rank may copy for one change.
    pub copies: usize,
    /// How long a rank takes to copy one expert, in seconds.
    pub copy_time: f64,
}
