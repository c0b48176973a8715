//! The state machines behind the delivery guarantees:
//!
//! - `ledger`: a sidecar sends an attempt to its upstream at most once, and never after it has
//!   reported the attempt as not run.
//! - `claim`: an idempotency key is granted to one attempt at a time.
//! - `assembly`: the chunks of a response are delivered in order, none lost or duplicated.
//! - `lease`: one process at a time holds a lease.
//! - `barrier`: during the rollout of an expert map, all ranks of a group use the same map for each
//!   step.
//! - `cap`: the concurrency limit of an upstream, which is lower while its engine is cold.
//!
//! The state machines do no I/O and read no clock. The caller passes in events and the current time
//! and acts on the decision that is returned, so tests can explore every interleaving.

pub mod assembly;
pub mod barrier;
pub mod cap;
pub mod claim;
pub mod lease;
pub mod ledger;

pub use assembly::Assembly;
pub use cap::Cap;
pub use claim::Shard;
pub use lease::Lease;
pub use ledger::Ledger;
