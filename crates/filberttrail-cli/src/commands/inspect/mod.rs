//! Commands that show the state of an estate without changing it.

pub mod explain;
pub mod rollout;
pub mod status;
