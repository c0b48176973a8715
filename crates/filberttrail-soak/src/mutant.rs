//! Gateways that lack a mechanism, to show that the soak detects the failures that it prevents.

use derive_more::Display;
use filberttrail_fleet::route::Kind;
use filberttrail_fleet::upstream::State;
use filberttrail_fleet::{Configuration, Upstream};
use filberttrail_gateway::{Interface, Settings};
use filberttrail_kernel::{Disabled, Error, Mechanism, Result};
use hyper::header::CONTENT_LENGTH;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Duration;

/// A gateway variant, named after the mechanism that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mutant {
    /// A stop does not wait for open requests.
    #[display("drain")]
    Drain,
    /// Responses are accepted without the signature that proves that they come from an upstream.
    #[display("proof")]
    Proof,
    /// Payments, which are unsafe requests, may be retried.
    #[display("once")]
    Once,
    /// API keys stay valid after they were removed from the configuration.
    #[display("revocation")]
    Revocation,
    /// The draining state of upstreams is ignored.
    #[display("leaving")]
    Leaving,
    /// Data centres that operators took out of service are still used.
    #[display("outs")]
    Outs,
    /// Requests that crash upstreams are sent on.
    #[display("blame")]
    Blame,
}

/// All mutants.
pub const ALL: [Mutant; 7] = [
    Mutant::Drain,
    Mutant::Proof,
    Mutant::Once,
    Mutant::Revocation,
    Mutant::Leaving,
    Mutant::Outs,
    Mutant::Blame,
];

impl Mutant {
    /// Finds a mutant by the name of the mechanism that it lacks. Fails if there is no such
    /// mechanism.
    pub fn find(name: &str) -> Result<Self> {
        ALL.into_iter().find(|mutant| mutant.to_string() == name).ok_or_else(|| {
            let names: Vec<String> = ALL.iter().map(ToString::to_string).collect();
            let help = format!("use one of: {}", names.join(", "));
            Error::setting("--without", format!("no mechanism is called '{name}'"), help).into()
        })
    }

    /// Removes the mechanism from a gateway's settings and platform interface.
    pub fn apply(self, settings: &mut Settings, interface: &mut Interface) {
        match self {
            Self::Drain => settings.grace = Duration::ZERO,
            // Every response with a length counts as signed.
            Self::Proof => interface.headers.signature = CONTENT_LENGTH,
            Self::Once => interface.read_configuration = read_all_retryable,
            Self::Revocation => interface.read_configuration = read_with_revoked_keys,
            Self::Leaving => interface.read_upstream = read_upstream_as_ready,
            // No object of this kind is ever written.
            Self::Outs => interface.outs = "filberttrail-no-outs",
            Self::Blame => {
                settings.disabled = Disabled::new().with_disabled(Mechanism::Blame);
            }
        }
    }
}

fn read_unmodified(value: &Value) -> Option<(Configuration, usize)> {
    (filberttrail_platform::settings::interface().read_configuration)(value)
}

fn read_upstream_as_ready(id: &str, value: &Value) -> Option<Upstream> {
    let read = filberttrail_platform::settings::interface().read_upstream;
    Some(Upstream { state: State::Ready, ..read(id, value)? })
}

fn read_all_retryable(value: &Value) -> Option<(Configuration, usize)> {
    let (mut configuration, undecoded) = read_unmodified(value)?;
    for route in &mut configuration.routes {
        if route.kind == Kind::Unsafe {
            route.kind = Kind::Safe;
            route.attempts = route.attempts.max(2);
        }
    }
    Some((configuration, undecoded))
}

/// All API keys of each team in any configuration so far.
static KEYS_SEEN: LazyLock<Mutex<BTreeMap<String, Vec<String>>>> = LazyLock::new(Mutex::default);

fn read_with_revoked_keys(value: &Value) -> Option<(Configuration, usize)> {
    let (mut configuration, undecoded) = read_unmodified(value)?;
    let mut keys_seen = KEYS_SEEN.lock().unwrap_or_else(PoisonError::into_inner);
    for team in &mut configuration.teams {
        let keys = keys_seen.entry(team.name.clone()).or_default();
        keys.append(&mut team.keys);
        keys.sort();
        keys.dedup();
        team.keys = keys.clone();
    }
    Some((configuration, undecoded))
}
