//! The configuration in force, indexed for the traffic threads.

use crate::manifest::{self, Manifest};
use crate::model::{Declarations, Preset, Service, Team, Upstream};
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::{Error, Result};
use std::collections::{BTreeSet, HashMap};
use subtle::ConstantTimeEq;

/// An immutable, indexed configuration.
#[derive(Debug, Clone)]
pub struct View {
    /// The manifest that it was made from.
    pub manifest: Manifest,
    /// The declarations that the manifest names.
    pub declarations: Declarations,
    /// The preset in force.
    pub preset: Preset,
    teams_by_key: HashMap<String, usize>,
}

impl View {
    /// Indexes declarations; the manifest's digests must be those of the parts.
    pub fn new(manifest: Manifest, estate: &[u8], teams: &[u8]) -> Result<Self> {
        check_digest(manifest::ESTATE, &manifest.estate, estate)?;
        check_digest(manifest::TEAMS, &manifest.teams, teams)?;
        let declarations = manifest::join(estate, teams)?;
        manifest::check_operation(&manifest.operation, &declarations)?;
        let preset = declarations
            .estate
            .presets
            .iter()
            .find(|preset| preset.name == manifest.operation.preset)
            .cloned()
            .ok_or_else(|| Error::platform("manifest", "no preset in force", "use a preset"))?;
        let teams = declarations.teams.iter().enumerate();
        let teams_by_key = teams.map(|(index, team)| (team.key_sha256.clone(), index)).collect();
        Ok(Self { manifest, declarations, preset, teams_by_key })
    }

    /// Finds the team that a key belongs to; the comparison takes the same time for any key.
    pub fn find_team(&self, key: &str) -> Option<&Team> {
        let digest = sha256_hex(key.as_bytes());
        let team = &self.declarations.teams[*self.teams_by_key.get(&digest)?];
        let equal = team.key_sha256.as_bytes().ct_eq(digest.as_bytes());
        bool::from(equal).then_some(team)
    }

    /// Lists the models that a team may use, each once.
    pub fn models_of(&self, team: &Team) -> BTreeSet<&str> {
        let groups = self.declarations.estate.groups.iter();
        groups
            .map(|group| group.model.as_str())
            .filter(|model| allows(&team.models, model))
            .collect()
    }

    /// Finds a service that a team may call.
    pub fn service_of(&self, team: &Team, name: &str) -> Option<&Service> {
        let services = &self.declarations.estate.services;
        services.iter().find(|item| item.name == name && allows(&team.services, name))
    }

    /// Lists the upstreams of a model, in service or not.
    pub fn upstreams_of_model(&self, model: &str) -> Vec<&Upstream> {
        let estate = &self.declarations.estate;
        let runs = |name: &String| {
            estate.groups.iter().any(|group| group.name == *name && group.model == model)
        };
        estate.upstreams.iter().filter(|item| item.group.as_ref().is_some_and(runs)).collect()
    }

    /// Lists the upstreams of a service, in service or not.
    pub fn upstreams_of_service(&self, service: &str) -> Vec<&Upstream> {
        let upstreams = self.declarations.estate.upstreams.iter();
        upstreams.filter(|item| item.service.as_deref() == Some(service)).collect()
    }

    /// Returns the model that an upstream's group runs, if it is an engine.
    pub fn model_of(&self, upstream: &Upstream) -> Option<&str> {
        let name = upstream.group.as_ref()?;
        let group = self.declarations.estate.groups.iter().find(|group| group.name == *name)?;
        Some(&group.model)
    }

    /// Finds an upstream by its name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.declarations.estate.upstreams.iter().find(|item| item.name == name)
    }

    /// Tells whether operators have taken an upstream, or its data centre, out.
    pub fn is_out(&self, upstream: &Upstream) -> bool {
        let operation = &self.manifest.operation;
        operation.upstreams_out.contains(&upstream.name)
            || operation.data_centres_out.contains(&upstream.data_centre)
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let all = &self.declarations.estate.data_centres;
        all.iter().find(|item| item.name == data_centre).map(|item| item.region.as_str())
    }
}

fn allows(list: &[String], name: &str) -> bool {
    list.iter().any(|item| item == "*" || item == name)
}

fn check_digest(part: &str, wanted: &str, bytes: &[u8]) -> Result<()> {
    let found = sha256_hex(bytes);
    if found == wanted {
        return Ok(());
    }
    let fault = format!("its digest is {found}, not {wanted}");
    Err(Error::platform(format!("part {part}"), fault, "fetch the part again").into())
}
