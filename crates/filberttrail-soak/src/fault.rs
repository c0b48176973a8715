//! Faults that a soak injects into an estate.

use derive_more::Display;
use std::time::Duration;

/// A network hop between processes, which a [`Link`](crate::link::Link) carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Hop {
    /// From the callers to the gateway with this index.
    #[display("callers to gateway {_0}")]
    Callers(usize),
    /// From the gateway with this index to the store.
    #[display("gateway {_0} to the store")]
    Store(usize),
    /// From all gateways to the upstream endpoint with this index.
    #[display("gateways to upstream {_0}")]
    Upstream(usize),
}

/// A network impairment of a link. Forward is the direction from the side that connects to the
/// side that accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Impairment {
    /// Delays each chunk of data, in both directions, by this time.
    #[display("delayed by {_0:?}")]
    Delay(Duration),
    /// Holds back data in the forward direction until the impairment ends.
    #[display("cut toward the far end")]
    BlockForward,
    /// Holds back data in the return direction until the impairment ends.
    #[display("cut on the way back")]
    BlockReturn,
    /// Carries no more data, in either direction, on the connections that are open when the
    /// impairment begins. These stay open and never recover; new connections work.
    #[display("open connections silenced")]
    Blackhole,
    /// Resets the connections that are open when the impairment begins; new connections work.
    #[display("open connections reset")]
    Reset,
}

/// A malfunction of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Malfunction {
    /// Responds to all requests with an error.
    #[display("unavailable")]
    Unavailable,
    /// Never responds to the requests that arrive, also not later.
    #[display("silent")]
    Silent,
    /// Applies writes, but their responses are lost.
    #[display("loses answers")]
    LosesResponses,
    /// Discards its change history once, so that watches must start again with a full read.
    #[display("forgets its history")]
    DiscardsHistory,
}

/// A fault, or an operation of planned work such as a stop. Numbers are indexes of gateways,
/// upstream endpoints and data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// Kills a gateway's process with SIGKILL.
    #[display("gateway {_0} is killed")]
    Kill(usize),
    /// Suspends a gateway's process with SIGSTOP for this time.
    #[display("gateway {_0} is frozen for {_1:?}")]
    Freeze(usize, Duration),
    /// Stops a gateway with SIGTERM. Planned work.
    #[display("gateway {_0} is asked to stop")]
    Stop(usize),
    /// Makes a gateway reload its settings with SIGHUP. Planned work.
    #[display("gateway {_0} reads its settings again")]
    Reload(usize),
    /// Impairs a link for this time.
    #[display("{_0}: {_1} for {_2:?}")]
    Link(Hop, Impairment, Duration),
    /// Disrupts the store for this time.
    #[display("the store {_0} for {_1:?}")]
    Store(Malfunction, Duration),
    /// Another writer keeps unreadable objects in the store for this time. It disturbs nothing.
    #[display("another writer keeps unreadable objects for {_0:?}")]
    OddWriter(Duration),
    /// Makes an upstream respond wrongly to this number of its next requests.
    #[display("upstream {_0} answers badly {_1} times")]
    Misbehave(usize, usize),
    /// Slows down the responses of an upstream for this time.
    #[display("upstream {_0} is slow for {_1:?}")]
    Slow(usize, Duration),
    /// Stops an upstream without notice. Another instance takes over its address after this time.
    #[display("upstream {_0} ends, replaced after {_1:?}")]
    Crash(usize, Duration),
    /// A caller sends a request that ends each upstream which runs it, over and over for this time.
    #[display("a request that crashes upstreams comes for {_0:?}")]
    Harm(Duration),
    /// Drains an upstream and then replaces it by another instance. Planned work.
    #[display("upstream {_0} leaves")]
    Leave(usize),
    /// Replaces the API key of the callers by a new one. Planned work.
    #[display("the callers' key is replaced")]
    ReplaceKey,
    /// Takes a data centre out of service for this time. Planned work.
    #[display("data centre {_0} is out for {_1:?}")]
    Out(usize, Duration),
}

impl Fault {
    /// Returns whether this is planned work of operators rather than a failure.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Leave(_) | Self::ReplaceKey | Self::Out(..)
        )
    }
}
