//! Moves experts between the ranks of a lock-step group while it serves requests.
//!
//! The ranks of a lock-step group begin each forward pass together. One rebalancer runs beside
//! each rank, and one of the group's rebalancers is its coordinator. The coordinator collects
//! expert counts, computes a map, writes the plan to the store with a conditional write, and sends
//! the ranks the orders that carry it out. After a takeover the new coordinator reads the plan
//! from the store and continues it.

pub mod coordinator;
pub mod daemon;
pub mod election;
pub mod engine;
pub mod fanout;
pub mod interface;
pub mod items;
pub mod order;
pub mod peer;
pub mod plan;
pub mod popularity;
pub mod proposal;
pub mod report;
pub mod rollout;
pub mod round;
pub mod sampler;
pub mod settings;
pub mod slowdown;

pub use daemon::Rebalancer;
pub use interface::Interface;
pub use order::Order;
pub use plan::Plan;
pub use report::Report;
pub use settings::Settings;
