//! State that an engine reports about itself as a rank of a lock-step group.

use serde::{Deserialize, Serialize};

/// The version of an expert map. Later maps have higher versions.
pub type Version = u64;
/// The number of a pass: one forward pass that all ranks of a lock-step group begin together.
pub type Pass = u64;

/// Expert numbers by layer and rank.
pub type Assignment = Vec<Vec<Vec<u32>>>;

/// The state of a rank. It is serialized without field names, because coordinators exchange one per
/// rank in every round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Report {
    /// The name of the rank's group.
    pub group: String,
    /// The epoch of the group; it changes whenever the group forms again.
    pub epoch: u64,
    /// The number of the rank in its group, from 0.
    pub rank: usize,
    /// The number of ranks in the group.
    pub size: usize,
    /// Whether the group is open, that is, formed and serving requests.
    pub open: bool,
    /// The incarnation of the engine process.
    pub incarnation: u64,
    /// Slowdown factor: the time for the same work relative to a healthy rank, 1 or more.
    pub slowdown: f64,
    /// The last pass that the rank began.
    pub pass: Pass,
    /// The version of the map in use.
    pub map: Version,
    /// The version of the next map, once its weights are copied.
    pub prepared: Option<Version>,
    /// The map version and the pass of the switch for which the rank is armed.
    pub armed: Option<(Version, Pass)>,
    /// The pass before which the rank holds the group.
    pub held: Option<Pass>,
}

/// The fields of a report in their order.
#[derive(Serialize, Deserialize)]
struct Row(
    String,
    u64,
    usize,
    usize,
    bool,
    u64,
    f64,
    Pass,
    Version,
    Option<Version>,
    Option<(Version, Pass)>,
    Option<Pass>,
);

impl From<Report> for Row {
    fn from(report: Report) -> Self {
        let Report { group, epoch, rank, size, open, incarnation, slowdown, .. } = report;
        let Report { pass, map, prepared, armed, held, .. } = report;
        Self(
            group,
            epoch,
            rank,
            size,
            open,
            incarnation,
            slowdown,
            pass,
            map,
            prepared,
            armed,
            held,
        )
    }
}

impl From<Row> for Report {
    fn from(row: Row) -> Self {
        let Row(
            group,
            epoch,
            rank,
            size,
            open,
            incarnation,
            slowdown,
            pass,
            map,
            prepared,
            armed,
            held,
        ) = row;
        Self {
            group,
            epoch,
            rank,
            size,
            open,
            incarnation,
            slowdown,
            pass,
            map,
            prepared,
            armed,
            held,
        }
    }
}

/// How many times the tokens of a rank's requests selected each expert since the rank started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The epoch of the group.
    pub epoch: u64,
    /// One count per expert, layer by layer.
    pub counts: Vec<u64>,
}

/// The experts that a rank holds under its current map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The epoch of the group.
    pub epoch: u64,
    /// The version of the map.
    pub version: Version,
    /// Expert numbers by layer.
    pub layers: Vec<Vec<u32>>,
}

/// Dimensions of a model's experts and the cost of copying them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of layers; each has its own map.
    pub layers: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of expert slots of a rank in a layer.
    pub slots: usize,
    /// Maximum number of experts that a rank may copy in a layer for one change.
    pub copies: usize,
    /// Time that a rank takes to copy one expert, in seconds.
    pub copy_time: f64,
}
