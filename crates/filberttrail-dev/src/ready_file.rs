//! The contents of the file that `dev --ready-file` writes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The addresses, keys and names that a caller needs to use a running estate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadyFile {
    /// The URL for callers of each entry, one per data centre.
    pub callers: Vec<String>,
    /// The admin URL of the first entry.
    pub admin: String,
    /// The admin URL of each entry, in the order of `callers`.
    pub admins: Vec<String>,
    /// The URL of the stand-in platform.
    pub platform: String,
    /// API keys by team name. The first team may use every model and service.
    pub teams: BTreeMap<String, String>,
    /// Names of the services. The counter service comes first.
    pub services: Vec<String>,
}
