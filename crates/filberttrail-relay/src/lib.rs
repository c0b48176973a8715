//! Keeps a process's configuration up to date, from the platform and from its peers.
//!
//! Every data connection carries manifests both ways, so that whoever has heard of a newer
//! generation passes it on, also while the platform is out or a watch is silent.

pub mod replicator;
pub mod threads;

pub use replicator::{Inbox, Message, Replicator};
pub use threads::Threads;
