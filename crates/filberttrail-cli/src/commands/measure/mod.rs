//! Commands that run benchmarks and simulations.

pub mod capacity;
pub mod control;
pub mod crowd;
pub mod departure;
pub mod failures;
pub mod limits;
pub mod outcome;
pub mod placement;
pub mod record;
pub mod relay;
pub mod routing;
pub mod scale;
