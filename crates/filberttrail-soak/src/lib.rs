//! A soak: real gateways as separate processes on loopback, between callers, upstreams and a store of
//! the soak's own. Faults come from outside the processes by a plan that the seed decides; verdicts
//! rest on what callers and upstreams saw.

pub mod callers;
pub mod estate;
pub mod evidence;
pub mod fault;
pub mod gateway;
pub mod link;
pub mod mutant;
pub mod place;
pub mod plan;
pub mod run;
pub mod verdict;

pub use evidence::Evidence;
pub use fault::Fault;
pub use mutant::Mutant;
pub use plan::Plan;
pub use run::{Settings, run};
