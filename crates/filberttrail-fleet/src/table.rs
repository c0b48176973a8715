//! A configuration with indexes for fast lookup.

use crate::{Configuration, Route, Service, Team};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration, indexed by host and by key.
#[derive(Debug)]
pub struct Table {
    configuration: Configuration,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    team_indexes_by_key: HashMap<String, usize>,
}

impl Table {
    /// Builds the indexes of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let teams = configuration.teams.iter().enumerate();
        let team_indexes_by_key =
            teams.flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)));
        let team_indexes_by_key = team_indexes_by_key.collect();
        Self { configuration, routes_by_host, team_indexes_by_key }
    }

    /// Returns the configuration that was indexed.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of the host whose prefix is the longest that matches the path. Ignores the
    /// case and the port of the host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the team that a key belongs to.
    pub fn find_team(&self, key: &str) -> Option<&Team> {
        self.team_indexes_by_key.get(key).map(|index| &self.configuration.teams[*index])
    }

    /// Returns the service with a name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        self.configuration.services.iter().find(|service| service.name == name)
    }
}
