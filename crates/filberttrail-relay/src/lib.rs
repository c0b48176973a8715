//! Keeps the configuration of a process up to date, from the platform and from its peers, and what
//! they blame for crashes of upstreams.
//!
//! Every connection between an entry and a sidecar carries manifests in both directions. A process
//! that receives a newer generation sends it to all of its peers, so configurations also spread
//! while the platform is unavailable or a watch misses a change.

pub mod blame;
pub mod replicator;
pub mod runtime_handles;

pub use blame::Blame;
pub use replicator::{Inbox, Message, Replicator};
pub use runtime_handles::RuntimeHandles;
