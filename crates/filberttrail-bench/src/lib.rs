//! Measurements: promises under injected failures, the quality of decisions compared with simpler
//! policies, and the cost of the relay and of state.

pub mod capacity;
pub mod control;
pub mod crowd;
pub mod departure;
pub mod failures;
pub mod limits;
pub mod placement;
pub mod plot;
pub mod relay;
pub mod routing;
pub mod scale;
pub mod traces;
