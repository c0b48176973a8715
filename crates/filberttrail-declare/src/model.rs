//! The types of the declaration files.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Everything that operators declare.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Declarations {
    /// Everything except the teams.
    pub estate: Estate,
    /// The teams that may send requests.
    pub teams: Vec<Team>,
}

/// The deployment that serves the teams: data centres, upstreams and limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Estate {
    /// The name of the preset in force until an operator switches to another.
    pub initial_preset: String,
    /// The data centres that entries and upstreams run in.
    pub data_centres: Vec<DataCentre>,
    /// Groups of ranks that run one model in lock-step.
    pub groups: Vec<Group>,
    /// Services other than models.
    pub services: Vec<Service>,
    /// The engines and service instances.
    pub upstreams: Vec<Upstream>,
    /// Named sets of limits, exactly one of which is in force.
    pub presets: Vec<Preset>,
}

/// A failure domain that operators take out of service and return as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DataCentre {
    /// The name, unique among data centres.
    pub name: String,
    /// The name of its region; latency is low between data centres of one region.
    pub region: String,
}

/// A group of ranks that runs one model in lock-step on one expert map.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Group {
    /// The name, unique among groups.
    pub name: String,
    /// The model name that callers request.
    pub model: String,
    /// The number of experts per layer.
    pub experts: u32,
    /// The number of expert slots per rank; slots beyond one per expert hold replicas.
    pub slots: u32,
}

/// A service other than a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// The name, unique among services; the service's path is `/services/NAME/`.
    pub name: String,
    /// Calls that may be run more than once, in addition to GET and HEAD.
    #[serde(default)]
    pub repeatable: Vec<Call>,
    /// The number of objects over which the service's claims are sharded.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
}

/// A pattern for a service's requests, by method and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Call {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path, in which `*` matches one segment.
    pub path: String,
}

/// An engine or a service instance, reached through its sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Upstream {
    /// The name, unique among upstreams.
    pub name: String,
    /// The name of the data centre that it runs in.
    pub data_centre: String,
    /// The sidecar's address for connections from entries: IP address and port.
    pub address: std::net::SocketAddr,
    /// The name of its group, for an engine.
    #[serde(default)]
    pub group: Option<String>,
    /// The name of its service, for a service instance.
    #[serde(default)]
    pub service: Option<String>,
    /// The index of its rank in its group, from 0.
    #[serde(default)]
    pub rank: u32,
    /// The concurrency limit at a cold start, in requests.
    #[serde(default = "default_cold_limit")]
    pub cold_limit: u32,
    /// The concurrency limit when warm, in requests.
    #[serde(default = "default_warm_limit")]
    pub warm_limit: u32,
    /// Whether the upstream rejects an order that carries an older fence than the latest that it
    /// has seen.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A team: a group of callers with its own API key, permissions and share of the capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Team {
    /// The name, unique among teams.
    pub name: String,
    /// The SHA-256 digest of the team's API key: 64 lower-case hexadecimal characters.
    pub key_sha256: String,
    /// The models that the team may use; `*` matches all.
    #[serde(default)]
    pub models: Vec<String>,
    /// The services that the team may call; `*` matches all.
    #[serde(default)]
    pub services: Vec<String>,
    /// The team's share of the capacity relative to other teams; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A named set of limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Preset {
    /// The name, unique among presets.
    pub name: String,
    /// The maximum number of requests in flight per entry.
    pub in_flight: u32,
    /// The maximum number of requests queued per entry.
    pub queue: u32,
    /// The maximum time that a request waits in an entry's queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// The retry budget: the maximum number of retries per hundred first attempts.
    pub retry_percent: u32,
    /// Whether expert maps are rebalanced.
    #[serde(default = "default_rebalance")]
    pub rebalance: bool,
}

impl Preset {
    /// Returns the maximum time that a request waits in an entry's queue.
    pub fn queue_wait(&self) -> Duration {
        Duration::from_millis(self.queue_wait_ms)
    }
}

impl Call {
    /// Returns whether a request's method and path, without its query, match this call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        let mut pattern = self.path.trim_matches('/').split('/');
        let mut segments = path.trim_matches('/').split('/');
        loop {
            match (pattern.next(), segments.next()) {
                (None, None) => return true,
                (Some("*"), Some(segment)) if !segment.is_empty() => {}
                (Some(left), Some(right)) if left == right => {}
                _ => return false,
            }
        }
    }
}

impl Service {
    /// Returns whether a request may be run more than once: GET, HEAD and the declared calls.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        matches!(method, "GET" | "HEAD")
            || self.repeatable.iter().any(|call| call.matches(method, path))
    }
}

fn default_claim_shards() -> u32 {
    16
}

fn default_cold_limit() -> u32 {
    4
}

fn default_warm_limit() -> u32 {
    32
}

fn default_weight() -> u32 {
    1
}

fn default_rebalance() -> bool {
    true
}
