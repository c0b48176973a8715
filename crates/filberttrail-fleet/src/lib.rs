//! Routing of requests from a gateway to upstreams, with no sidecar in between: the configuration
//! and its look-up, snapshots of it, upstreams and their health, load balancing, admission, retry
//! budgets, and the splitting of event streams.
//!
//! A gateway is a kind of entry. In this crate, an entry is always a gateway process.
//!
//! This crate does no I/O. The caller passes in the time and all random numbers.

pub mod admission;
pub mod balance;
pub mod blame;
pub mod budget;
pub mod candidate;
pub mod configuration;
pub mod currency;
pub mod event;
pub mod freshness;
pub mod health;
pub mod intake;
pub mod loads;
pub mod overlay;
pub mod presence;
pub mod route;
pub mod service;
pub mod snapshot;
pub mod subset;
pub mod table;
pub mod team;
pub mod upstream;
pub mod window;

pub use admission::Admission;
pub use budget::Budget;
pub use candidate::Candidate;
pub use configuration::Configuration;
pub use event::Splitter;
pub use freshness::Freshness;
pub use health::Health;
pub use intake::Intake;
pub use loads::Loads;
pub use overlay::Overlay;
pub use presence::Presence;
pub use route::{Kind, Route};
pub use service::Service;
pub use snapshot::Snapshot;
pub use table::Table;
pub use team::Team;
pub use upstream::Upstream;
pub use window::Window;
