//! Mechanisms that can be left out, to show the violations that each prevents.

use derive_more::Display;

/// A mechanism behind one of the promises. Daemons always have all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mechanism {
    /// The leader's stamp on each step.
    #[display("barrier")]
    Barrier,
    /// The cap of a cold upstream.
    #[display("cap")]
    Cap,
    /// The refusal of work while out of service.
    #[display("outs")]
    Outs,
    /// The order of an answer's chunks.
    #[display("assembly")]
    Assembly,
    /// The ledger's word on what was not run.
    #[display("ledger")]
    Ledger,
    /// The claims on idempotency keys.
    #[display("claims")]
    Claims,
    /// The wait of a shutdown for open answers.
    #[display("drain")]
    Drain,
    /// The order of generations.
    #[display("generations")]
    Generations,
}

/// Every mechanism.
pub const ALL: [Mechanism; 8] = [
    Mechanism::Barrier,
    Mechanism::Cap,
    Mechanism::Outs,
    Mechanism::Assembly,
    Mechanism::Ledger,
    Mechanism::Claims,
    Mechanism::Drain,
    Mechanism::Generations,
];

impl Mechanism {
    /// Finds a mechanism by its name.
    pub fn find(name: &str) -> crate::Result<Self> {
        ALL.into_iter().find(|mechanism| mechanism.to_string() == name).ok_or_else(|| {
            let names: Vec<String> = ALL.iter().map(ToString::to_string).collect();
            let help = format!("use one of: {}", names.join(", "));
            crate::Error::setting("--without", format!("no mechanism is called '{name}'"), help)
                .into()
        })
    }
}

/// The mechanisms that are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Disabled {
    mechanisms: Vec<Mechanism>,
}

impl Disabled {
    /// Leaves out none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Leaves out one more.
    pub fn with_disabled(mut self, mechanism: Mechanism) -> Self {
        self.mechanisms.push(mechanism);
        self
    }

    /// Tells whether a mechanism is there.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.mechanisms.contains(&mechanism)
    }
}
