//! Orders to an engine.

use crate::report::{Pass, Version};
use serde::{Deserialize, Serialize};

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy what a map needs.
    Prepare {
        /// The version of the map.
        version: Version,
        /// Experts by layer and rank.
        map: Vec<Vec<Vec<u32>>>,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// The version of the map.
        version: Version,
        /// The pass.
        pass: Pass,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// The pass.
        pass: Pass,
    },
    /// Let the group begin a pass that it is held before.
    Go {
        /// The pass.
        pass: Pass,
    },
}

/// An order for an epoch of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The epoch; the engine refuses it in another one.
    pub epoch: u64,
    /// The order.
    pub order: Order,
}
