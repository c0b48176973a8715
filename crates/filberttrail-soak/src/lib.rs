//! A fault-injection soak test of the gateway.
//!
//! Runs gateways as separate processes on loopback, with simulated callers, upstreams and a store
//! around them. Faults are injected from outside the processes, by a plan that only depends on the
//! seed. The verdict on each promise is based on what callers and upstreams observed.

pub mod callers;
pub mod endpoint;
pub mod estate;
pub mod evidence;
pub mod fault;
pub mod gateway;
pub mod link;
pub mod mutant;
pub mod plan;
pub mod run;
pub mod verdict;

pub use evidence::Evidence;
pub use fault::Fault;
pub use mutant::Mutant;
pub use plan::Plan;
pub use run::{Settings, run};
