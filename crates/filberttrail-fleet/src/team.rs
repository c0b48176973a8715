//! Teams and the API keys of their callers.

use serde::{Deserialize, Serialize};

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Unique name of the team, which upstreams receive in a header.
    pub name: String,
    /// API keys that the team's callers send.
    pub keys: Vec<String>,
    /// Priority, where 0 is the most urgent. It overrides the priority of the route.
    pub priority: Option<u8>,
}
