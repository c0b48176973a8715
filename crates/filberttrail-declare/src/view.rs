//! The configuration in force, indexed for the threads that handle requests.

use crate::manifest::{self, Manifest};
use crate::model::{Declarations, Preset, Service, Team, Upstream};
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::{Error, Result};
use std::collections::{BTreeSet, HashMap};
use subtle::ConstantTimeEq;

/// An immutable, indexed configuration.
#[derive(Debug, Clone)]
pub struct View {
    /// The manifest that the view was built from.
    pub manifest: Manifest,
    /// The declarations that the manifest refers to.
    pub declarations: Declarations,
    /// The preset in force.
    pub preset: Preset,
    teams_by_key: HashMap<String, usize>,
}

impl View {
    /// Builds a view from a manifest and its parts, in JSON.
    ///
    /// Returns an error if a part does not match its digest in the manifest, cannot be decoded, or
    /// lacks something that the manifest's operation names.
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

    /// Returns the team that an API key belongs to; the key's digest is compared in constant time.
    pub fn find_team(&self, key: &str) -> Option<&Team> {
        let digest = sha256_hex(key.as_bytes());
        let team = &self.declarations.teams[*self.teams_by_key.get(&digest)?];
        let equal = team.key_sha256.as_bytes().ct_eq(digest.as_bytes());
        bool::from(equal).then_some(team)
    }

    /// Returns the models that a team may use.
    pub fn models_of(&self, team: &Team) -> BTreeSet<&str> {
        let groups = self.declarations.estate.groups.iter();
        groups
            .map(|group| group.model.as_str())
            .filter(|model| allows(&team.models, model))
            .collect()
    }

    /// Returns the service with this name if the team may call it.
    pub fn service_of(&self, team: &Team, name: &str) -> Option<&Service> {
        let services = &self.declarations.estate.services;
        services.iter().find(|item| item.name == name && allows(&team.services, name))
    }

    /// Returns all upstreams of a model, including those that are out of service.
    pub fn upstreams_of_model(&self, model: &str) -> Vec<&Upstream> {
        let estate = &self.declarations.estate;
        let runs_model = |name: &String| {
            estate.groups.iter().any(|group| group.name == *name && group.model == model)
        };
        estate.upstreams.iter().filter(|item| item.group.as_ref().is_some_and(runs_model)).collect()
    }

    /// Returns all upstreams of a service, including those that are out of service.
    pub fn upstreams_of_service(&self, service: &str) -> Vec<&Upstream> {
        let upstreams = self.declarations.estate.upstreams.iter();
        upstreams.filter(|item| item.service.as_deref() == Some(service)).collect()
    }

    /// Returns the model of an upstream's group; `None` for a service instance.
    pub fn model_of(&self, upstream: &Upstream) -> Option<&str> {
        let name = upstream.group.as_ref()?;
        let group = self.declarations.estate.groups.iter().find(|group| group.name == *name)?;
        Some(&group.model)
    }

    /// Returns the upstreams in service that run the same model or service as an upstream.
    pub fn peers_of(&self, upstream: &Upstream) -> Vec<&Upstream> {
        let same = match self.model_of(upstream) {
            Some(model) => self.upstreams_of_model(model),
            None => self.upstreams_of_service(upstream.service.as_deref().unwrap_or_default()),
        };
        same.into_iter().filter(|item| !self.is_out(item)).collect()
    }

    /// Returns the upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.declarations.estate.upstreams.iter().find(|item| item.name == name)
    }

    /// Returns whether operators have taken an upstream or its data centre out of service.
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

fn check_digest(part: &str, expected: &str, bytes: &[u8]) -> Result<()> {
    let actual = sha256_hex(bytes);
    if actual == expected {
        return Ok(());
    }
    let message = format!("its digest is {actual}, not {expected}");
    Err(Error::platform(format!("part {part}"), message, "fetch the part again").into())
}
