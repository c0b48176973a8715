//! Orders that a coordinator sends to engines.

use crate::report::{Assignment, Pass, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copies the expert weights that a map needs.
    Prepare {
        /// The version of the map.
        version: Version,
        /// Expert numbers by layer and rank.
        map: Arc<Assignment>,
    },
    /// Schedules the switch to a prepared map for the start of a pass.
    Arm {
        /// The version of the map.
        version: Version,
        /// The pass from which on the engine uses the map.
        pass: Pass,
    },
    /// Cancels the switch to a map.
    Disarm {
        /// The version of the map.
        version: Version,
    },
    /// Places a hold: a barrier that keeps the whole group from beginning a pass.
    Hold {
        /// The pass that must not begin.
        pass: Pass,
    },
    /// Releases a hold, so that the group may begin the pass.
    Go {
        /// The pass before which the group is held.
        pass: Pass,
    },
}

/// An order together with the epoch in which it is valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The group's epoch; the engine rejects the order in any other epoch.
    pub epoch: u64,
    /// The order to apply.
    pub order: Order,
}
