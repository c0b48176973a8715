//! Commands that run a long-lived process.

pub mod dev;
pub mod entry;
pub mod gateway;
pub mod rebalancer;
pub mod sidecar;
pub mod stand_in;
