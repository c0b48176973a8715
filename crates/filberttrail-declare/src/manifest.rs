//! The manifest: the pointer to the configuration in force.
//!
//! Invariant: a manifest is replaced only by one of a higher generation.
//!
//! The settings that operators switch often (preset, outs) are part of the manifest itself, so that
//! a switch reaches every process in one small message. Declarations are referred to by digest.

use crate::model::Declarations;
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::id::{DataCentreName, Generation, UpstreamName};
use filberttrail_kernel::{Error, Result};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The configuration in force and its generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Manifest {
    /// Increases by 1 with each accepted change; the first is 1.
    pub generation: Generation,
    /// A unique id of the change, which distinguishes it from a concurrent change of the same
    /// generation.
    pub change: String,
    /// The change ids of the preceding generations, newest first; at most 16.
    pub recent: Vec<String>,
    /// The SHA-256 digest of the estate part, in hexadecimal.
    pub estate: String,
    /// The SHA-256 digest of the teams part, in hexadecimal.
    pub teams: String,
    /// The settings that operators switch without changing declarations.
    pub operation: Operation,
}

/// The settings that operators switch at run time, without changing declarations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operation {
    /// The name of the preset in force.
    pub preset: String,
    /// The data centres that receive no new requests.
    pub data_centres_out: BTreeSet<DataCentreName>,
    /// The upstreams that receive no new requests.
    pub upstreams_out: BTreeSet<UpstreamName>,
}

/// The maximum number of recent change ids in a manifest, by which a writer that lost the response
/// to its write can find out whether the write took effect.
const RECENT_LIMIT: usize = 16;

/// The name of the part that contains the estate.
pub const ESTATE: &str = "estate";
/// The name of the part that contains the teams.
pub const TEAMS: &str = "teams";

/// Splits declarations into parts for storage; returns their names and content, in JSON.
pub fn split(declarations: &Declarations) -> [(&'static str, Vec<u8>); 2] {
    let estate = serde_json::to_vec(&declarations.estate).unwrap_or_default();
    let teams = serde_json::to_vec(&declarations.teams).unwrap_or_default();
    [(ESTATE, estate), (TEAMS, teams)]
}

/// Decodes stored parts into declarations.
pub fn join(estate: &[u8], teams: &[u8]) -> Result<Declarations> {
    Ok(Declarations { estate: decode(ESTATE, estate)?, teams: decode(TEAMS, teams)? })
}

fn decode<T: serde::de::DeserializeOwned>(part: &str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| {
        let help = "apply the declarations again with this release";
        Error::platform(format!("part {part}"), error, help).into()
    })
}

impl Manifest {
    /// Creates the first manifest, of generation 1, with the declared initial preset.
    pub fn new(declarations: &Declarations, change: String) -> Self {
        let operation = Operation {
            preset: declarations.estate.initial_preset.clone(),
            ..Operation::default()
        };
        Self::build(1, change, declarations, operation)
    }

    /// Creates the next manifest, with other declarations and the same operation.
    ///
    /// Returns an error if the operation names something that is no longer declared.
    pub fn with_declarations(&self, declarations: &Declarations, change: String) -> Result<Self> {
        let operation = self.operation.clone();
        check_operation(&operation, declarations)?;
        let recent = self.recent_changes();
        let next = Self::build(self.generation + 1, change, declarations, operation);
        Ok(Self { recent, ..next })
    }

    /// Creates the next manifest, with another operation and the same declarations.
    pub fn with_operation(&self, operation: Operation, change: String) -> Self {
        let recent = self.recent_changes();
        Self { generation: self.generation + 1, change, recent, operation, ..self.clone() }
    }

    /// Returns whether a change is in force or among the recent changes that were replaced.
    pub fn contains(&self, change: &str) -> bool {
        self.change == change || self.recent.iter().any(|recent| recent == change)
    }

    fn recent_changes(&self) -> Vec<String> {
        let mut recent = vec![self.change.clone()];
        recent.extend(self.recent.iter().take(RECENT_LIMIT - 1).cloned());
        recent
    }

    fn build(
        generation: Generation,
        change: String,
        declarations: &Declarations,
        operation: Operation,
    ) -> Self {
        let [(_, estate), (_, teams)] = split(declarations);
        let (estate, teams) = (sha256_hex(&estate), sha256_hex(&teams));
        Self { generation, change, recent: Vec::new(), estate, teams, operation }
    }
}

/// Returns an error if a service's number of claim shards changes.
///
/// Existing claims would then be looked up in other objects and not found, so that requests with
/// claimed idempotency keys could run again.
pub fn check_claim_shards(before: &Declarations, after: &Declarations) -> Result<()> {
    for service in &after.estate.services {
        let mut previous =
            before.estate.services.iter().filter(|previous| previous.name == service.name);
        let Some(previous) =
            previous.find(|previous| previous.claim_shards != service.claim_shards)
        else {
            continue;
        };
        let location = format!("services ({})", service.name);
        let message = format!(
            "claim-shards changes from {} to {}",
            previous.claim_shards, service.claim_shards
        );
        let help = "keep it: keys claimed before would run again; or use a new service name";
        return Err(Error::declaration(location, message, help).into());
    }
    Ok(())
}

/// Returns an error if an operation names something that is not declared.
pub fn check_operation(operation: &Operation, declarations: &Declarations) -> Result<()> {
    let estate = &declarations.estate;
    let preset = &operation.preset;
    if !estate.presets.iter().any(|item| item.name == *preset) {
        let help = "keep the preset in force declared, or use another one first";
        let message = format!("'{preset}' is in force but not declared");
        return Err(Error::declaration("presets", message, help).into());
    }
    for name in &operation.data_centres_out {
        if !estate.data_centres.iter().any(|item| item.name == *name) {
            let help = "name a declared data centre; return it before removing it";
            let message = format!("'{name}' is out but not declared");
            return Err(Error::declaration("data-centres", message, help).into());
        }
    }
    for name in &operation.upstreams_out {
        if !estate.upstreams.iter().any(|item| item.name == *name) {
            let help = "name a declared upstream; return it before removing it";
            let message = format!("'{name}' is out but not declared");
            return Err(Error::declaration("upstreams", message, help).into());
        }
    }
    Ok(())
}
