//! The status that entries publish to the platform for operators.

use crate::client::Platform;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::{Generation, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The prefix of the keys of status objects.
pub const PREFIX: &str = "status/";

/// The status of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The entry's name.
    pub node: String,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The name of the entry's data centre.
    pub data_centre: String,
    /// The generation in force at the entry; 0 if there is none.
    pub generation: Generation,
    /// The generation in force at each connected sidecar, by upstream name.
    pub upstreams: BTreeMap<String, Generation>,
}

/// Reads the status of every entry; omits those that cannot be decoded.
pub async fn read_all(platform: &Platform) -> Result<Vec<Status>> {
    let mut all = Vec::new();
    for key in platform.list(PREFIX).await? {
        if let Some(object) = platform.read(&key).await?
            && let Ok(status) = serde_json::from_slice(&object.value)
        {
            all.push(status);
        }
    }
    Ok(all)
}

/// Writes an entry's status, replacing its previous one.
pub async fn publish(platform: &Platform, status: &Status) -> Result<()> {
    let key = format!("{PREFIX}{}", status.node);
    let version = platform.read(&key).await?.map_or(0, |object| object.version);
    let value = serde_json::to_vec(status).unwrap_or_default();
    platform.write(&key, version, value.into()).await?;
    Ok(())
}
