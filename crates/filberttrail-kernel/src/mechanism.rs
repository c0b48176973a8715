//! Safety mechanisms that tests can disable, to show which violations each one prevents.

use derive_more::Display;

/// A mechanism that enforces one of the system's guarantees. Production daemons enable all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mechanism {
    /// The map version that a group's leader sends with each step.
    #[display("barrier")]
    Barrier,
    /// The concurrency limit of an upstream that is still cold.
    #[display("cap")]
    Cap,
    /// The rule that upstreams which operators have taken out of service get no new requests.
    #[display("outs")]
    Outs,
    /// The ordering of a response's chunks by sequence number.
    #[display("assembly")]
    Assembly,
    /// The ledger's proof that an attempt was not run.
    #[display("ledger")]
    Ledger,
    /// The claims that reserve idempotency keys.
    #[display("claims")]
    Claims,
    /// The wait for open responses during shutdown.
    #[display("drain")]
    Drain,
    /// The rule that a process never applies an older generation.
    #[display("generations")]
    Generations,
    /// The refusal of requests that crash the upstreams which run them.
    #[display("blame")]
    Blame,
}

/// All mechanisms.
pub const ALL: [Mechanism; 9] = [
    Mechanism::Barrier,
    Mechanism::Cap,
    Mechanism::Outs,
    Mechanism::Assembly,
    Mechanism::Ledger,
    Mechanism::Claims,
    Mechanism::Drain,
    Mechanism::Generations,
    Mechanism::Blame,
];

impl Mechanism {
    /// Returns the mechanism with this name, as given to `--without`.
    pub fn find(name: &str) -> crate::Result<Self> {
        ALL.into_iter().find(|mechanism| mechanism.to_string() == name).ok_or_else(|| {
            let names: Vec<String> = ALL.iter().map(ToString::to_string).collect();
            let help = format!("use one of: {}", names.join(", "));
            crate::Error::setting("--without", format!("no mechanism is called '{name}'"), help)
                .into()
        })
    }
}

/// The set of disabled mechanisms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Disabled {
    mechanisms: Vec<Mechanism>,
}

impl Disabled {
    /// Creates an empty set: every mechanism is enabled.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a mechanism to the set.
    pub fn with_disabled(mut self, mechanism: Mechanism) -> Self {
        self.mechanisms.push(mechanism);
        self
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.mechanisms.contains(&mechanism)
    }
}
