//! The configuration that operators have activated.

use crate::{Route, Service, Team};
use serde::{Deserialize, Serialize};

/// The generation of a configuration. A later configuration has a higher generation.
pub type Generation = u64;

/// A configuration of routes, services and teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Generation of this configuration.
    pub generation: Generation,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All teams. If there are none, requests need no key.
    pub teams: Vec<Team>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}
