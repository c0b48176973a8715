//! The pointer to the configuration in force.
//!
//! Invariant: a manifest of a higher generation replaces one of a lower, never the other way round.
//! What operators switch often (preset, outs) stands in the manifest itself, so that a switch
//! reaches every process in one small message; declarations are named by their content.

use crate::model::Declarations;
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::id::{DataCentreName, Generation, UpstreamName};
use filberttrail_kernel::{Error, Result};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What is in force, and since which generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Manifest {
    /// Rises by one with each accepted change.
    pub generation: Generation,
    /// Tells this change from another one that reached the same generation.
    pub change: String,
    /// The changes of the generations before, newest first.
    pub recent: Vec<String>,
    /// The digest of the estate part.
    pub estate: String,
    /// The digest of the teams part.
    pub teams: String,
    /// What operators have switched.
    pub operation: Operation,
}

/// What operators switch while declarations stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operation {
    /// The one preset in force.
    pub preset: String,
    /// Data centres that get no new work.
    pub data_centres_out: BTreeSet<DataCentreName>,
    /// Upstreams that get no new work.
    pub upstreams_out: BTreeSet<UpstreamName>,
}

/// Changes that a manifest remembers, so that a writer whose answer was lost finds its own.
const RECENT_LIMIT: usize = 16;

/// The part that holds the estate.
pub const ESTATE: &str = "estate";
/// The part that holds the teams.
pub const TEAMS: &str = "teams";

/// Splits declarations into the parts that are stored, each with its name and bytes.
pub fn split(declarations: &Declarations) -> [(&'static str, Vec<u8>); 2] {
    let estate = serde_json::to_vec(&declarations.estate).unwrap_or_default();
    let teams = serde_json::to_vec(&declarations.teams).unwrap_or_default();
    [(ESTATE, estate), (TEAMS, teams)]
}

/// Joins stored parts again.
pub fn join(estate: &[u8], teams: &[u8]) -> Result<Declarations> {
    Ok(Declarations { estate: decode(ESTATE, estate)?, teams: decode(TEAMS, teams)? })
}

fn decode<T: serde::de::DeserializeOwned>(part: &str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|fault| {
        let help = "apply the declarations again with this release";
        Error::platform(format!("part {part}"), fault, help).into()
    })
}

impl Manifest {
    /// Builds the first manifest for some declarations.
    pub fn new(declarations: &Declarations, change: String) -> Self {
        let operation = Operation {
            preset: declarations.estate.initial_preset.clone(),
            ..Operation::default()
        };
        Self::build(1, change, declarations, operation)
    }

    /// Builds the manifest that follows this one with other declarations.
    ///
    /// What operators switched stays; it is refused where it names things no longer declared.
    pub fn with_declarations(&self, declarations: &Declarations, change: String) -> Result<Self> {
        let operation = self.operation.clone();
        check_operation(&operation, declarations)?;
        let recent = self.history();
        let next = Self::build(self.generation + 1, change, declarations, operation);
        Ok(Self { recent, ..next })
    }

    /// Builds the manifest that follows this one with another operation.
    pub fn with_operation(&self, operation: Operation, change: String) -> Self {
        let recent = self.history();
        Self { generation: self.generation + 1, change, recent, operation, ..self.clone() }
    }

    /// Tells whether a change is the one in force, or one that was replaced a little while ago.
    pub fn contains(&self, change: &str) -> bool {
        self.change == change || self.recent.iter().any(|recent| recent == change)
    }

    fn history(&self) -> Vec<String> {
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

/// Refuses declarations under which a key that is claimed would be looked for elsewhere, and so
/// could run again.
pub fn check_claim_shards(before: &Declarations, after: &Declarations) -> Result<()> {
    for service in &after.estate.services {
        let mut known = before.estate.services.iter().filter(|known| known.name == service.name);
        let Some(known) = known.find(|known| known.claim_shards != service.claim_shards) else {
            continue;
        };
        let place = format!("services ({})", service.name);
        let fault =
            format!("claim-shards changes from {} to {}", known.claim_shards, service.claim_shards);
        let help = "keep it: keys claimed before would run again; or use a new service name";
        return Err(Error::declaration(place, fault, help).into());
    }
    Ok(())
}

/// Refuses an operation that names something that is not declared.
pub fn check_operation(operation: &Operation, declarations: &Declarations) -> Result<()> {
    let estate = &declarations.estate;
    let preset = &operation.preset;
    if !estate.presets.iter().any(|item| item.name == *preset) {
        let help = "keep the preset in force declared, or use another one first";
        let fault = format!("'{preset}' is in force but not declared");
        return Err(Error::declaration("presets", fault, help).into());
    }
    for name in &operation.data_centres_out {
        if !estate.data_centres.iter().any(|item| item.name == *name) {
            let help = "name a declared data centre; return it before removing it";
            let fault = format!("'{name}' is out but not declared");
            return Err(Error::declaration("data-centres", fault, help).into());
        }
    }
    for name in &operation.upstreams_out {
        if !estate.upstreams.iter().any(|item| item.name == *name) {
            let help = "name a declared upstream; return it before removing it";
            let fault = format!("'{name}' is out but not declared");
            return Err(Error::declaration("upstreams", fault, help).into());
        }
    }
    Ok(())
}
