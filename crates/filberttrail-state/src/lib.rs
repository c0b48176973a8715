//! The state machines behind the delivery guarantees: leases, claims, attempts and map rollouts.
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
