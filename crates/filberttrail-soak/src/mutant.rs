//! Gateways with a mechanism missing, to show that the soak sees what it prevents.

use derive_more::Display;
use filberttrail_fleet::route::Kind;
use filberttrail_fleet::upstream::State;
use filberttrail_fleet::{Configuration, Upstream};
use filberttrail_gateway::{Interface, Settings};
use filberttrail_kernel::{Error, Result};
use hyper::header::CONTENT_LENGTH;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Duration;

/// What a gateway lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mutant {
    /// The wait of a shutdown for open requests.
    #[display("drain")]
    Drain,
    /// The proof that an answer is an upstream's.
    #[display("proof")]
    Proof,
    /// The rule that payments are sent once.
    #[display("once")]
    Once,
    /// The removal of keys that the configuration no longer holds.
    #[display("revocation")]
    Revocation,
    /// The word of upstreams that they leave.
    #[display("leaving")]
    Leaving,
    /// The word of operators that a data centre is out of service.
    #[display("outs")]
    Outs,
}

/// Every one of them.
pub const ALL: [Mutant; 6] =
    [Mutant::Drain, Mutant::Proof, Mutant::Once, Mutant::Revocation, Mutant::Leaving, Mutant::Outs];

impl Mutant {
    /// Finds a mutant by what it lacks.
    pub fn find(name: &str) -> Result<Self> {
        ALL.into_iter().find(|mutant| mutant.to_string() == name).ok_or_else(|| {
            let names: Vec<String> = ALL.iter().map(ToString::to_string).collect();
            let help = format!("use one of: {}", names.join(", "));
            Error::setting("--without", format!("no mechanism is called '{name}'"), help).into()
        })
    }

    /// Takes the mechanism out of a gateway's settings and interface.
    pub fn apply(self, settings: &mut Settings, interface: &mut Interface) {
        match self {
            Self::Drain => settings.grace = Duration::ZERO,
            // Every answer with a length passes for an upstream's.
            Self::Proof => interface.headers.signature = CONTENT_LENGTH,
            Self::Once => interface.read_configuration = read_all_repeatable,
            Self::Revocation => interface.read_configuration = read_with_former_keys,
            Self::Leaving => interface.read_upstream = read_as_ready,
            // A kind that nobody writes.
            Self::Outs => interface.outs = "filberttrail-no-outs",
        }
    }
}

fn read(value: &Value) -> Option<(Configuration, usize)> {
    (filberttrail_platform::settings::interface().read_configuration)(value)
}

fn read_as_ready(id: &str, value: &Value) -> Option<Upstream> {
    let read = filberttrail_platform::settings::interface().read_upstream;
    Some(Upstream { state: State::Ready, ..read(id, value)? })
}

fn read_all_repeatable(value: &Value) -> Option<(Configuration, usize)> {
    let (mut configuration, unread) = read(value)?;
    for route in &mut configuration.routes {
        if route.kind == Kind::Unsafe {
            route.kind = Kind::Safe;
            route.attempts = route.attempts.max(2);
        }
    }
    Some((configuration, unread))
}

/// Keys of each team that any configuration held.
static FORMER: LazyLock<Mutex<BTreeMap<String, Vec<String>>>> = LazyLock::new(Mutex::default);

fn read_with_former_keys(value: &Value) -> Option<(Configuration, usize)> {
    let (mut configuration, unread) = read(value)?;
    let mut former = FORMER.lock().unwrap_or_else(PoisonError::into_inner);
    for team in &mut configuration.teams {
        let keys = former.entry(team.name.clone()).or_default();
        keys.append(&mut team.keys);
        keys.sort();
        keys.dedup();
        team.keys = keys.clone();
    }
    Some((configuration, unread))
}
