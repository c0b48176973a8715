//! What a soak does to an estate.

use derive_more::Display;
use std::time::Duration;

/// Which link between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Path {
    /// Callers to a gateway.
    #[display("callers to gateway {_0}")]
    Callers(usize),
    /// A gateway to the store.
    #[display("gateway {_0} to the store")]
    Store(usize),
    /// All gateways to an upstream.
    #[display("gateways to upstream {_0}")]
    Upstream(usize),
}

/// How a link misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Harm {
    /// Every piece of data is late by so much.
    #[display("delayed by {_0:?}")]
    Delay(Duration),
    /// Nothing arrives at the far end.
    #[display("cut toward the far end")]
    CutToward,
    /// Nothing comes back.
    #[display("cut on the way back")]
    CutBack,
    /// Open connections are silent for good, new ones work.
    #[display("open connections silenced")]
    Silence,
    /// Open connections are reset.
    #[display("open connections reset")]
    Reset,
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Ailment {
    /// It answers with an error.
    #[display("unavailable")]
    Unavailable,
    /// Writes take effect and their answers are lost.
    #[display("loses answers")]
    LosesAnswers,
    /// It forgets its history, so that watches must begin anew.
    #[display("forgets its history")]
    Forgets,
}

/// One thing that a soak does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// A gateway is killed.
    #[display("gateway {_0} is killed")]
    Kill(usize),
    /// A gateway is frozen for a while.
    #[display("gateway {_0} is frozen for {_1:?}")]
    Freeze(usize, Duration),
    /// A gateway is asked to stop; planned work.
    #[display("gateway {_0} is asked to stop")]
    Stop(usize),
    /// A gateway reads its settings again; planned work.
    #[display("gateway {_0} reads its settings again")]
    Reload(usize),
    /// A link misbehaves for a while.
    #[display("{_0}: {_1} for {_2:?}")]
    Link(Path, Harm, Duration),
    /// The store misbehaves for a while.
    #[display("the store {_0} for {_1:?}")]
    Store(Ailment, Duration),
    /// An upstream answers badly, so many times.
    #[display("upstream {_0} answers badly {_1} times")]
    Misbehave(usize, usize),
    /// An upstream is slow for a while.
    #[display("upstream {_0} is slow for {_1:?}")]
    Slow(usize, Duration),
    /// An upstream ends without notice, and another takes its address a while later.
    #[display("upstream {_0} ends, replaced after {_1:?}")]
    End(usize, Duration),
    /// An upstream leaves with notice and is replaced; planned work.
    #[display("upstream {_0} leaves")]
    Leave(usize),
    /// The callers' newest key is replaced; planned work.
    #[display("the callers' key is replaced")]
    ReplaceKey,
    /// A data centre is taken out of service for a while; planned work.
    #[display("data centre {_0} is out for {_1:?}")]
    Out(usize, Duration),
}

impl Fault {
    /// Tells whether operators do this on purpose.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Leave(_) | Self::ReplaceKey | Self::Out(..)
        )
    }
}
