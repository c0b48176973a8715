//! Moves experts between the ranks of a lock-step group while it serves.
//!
//! One rebalancer stands beside each rank. One of a group's rebalancers coordinates: it gathers
//! counts, decides on a map, writes the plan to the store under a condition, and drives the ranks
//! through it. Whoever takes over finds the plan in the store and drives it on.

pub mod coordinator;
pub mod daemon;
pub mod engine;
pub mod interface;
pub mod order;
pub mod peer;
pub mod plan;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod tally;
pub mod teller;
pub mod turn;

pub use daemon::Rebalancer;
pub use interface::Interface;
pub use order::Order;
pub use plan::Plan;
pub use report::Report;
pub use settings::Settings;
