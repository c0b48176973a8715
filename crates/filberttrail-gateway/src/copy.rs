//! What one entry has read from the store, as it sends it to another.

use crate::packed::Packed;
use filberttrail_fleet::Snapshot;
use serde::{Deserialize, Serialize};

/// A snapshot with the configuration. Parts that the receiver has already are left out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Copy {
    /// All but the configuration.
    pub snapshot: Snapshot,
    /// The active configuration.
    pub configuration: Option<Packed>,
}
