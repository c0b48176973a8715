//! The sidecar: the only process that sends requests to the engine or service next to it.
//!
//! Entries offer attempts over long-lived connections. The sidecar limits the number of requests in
//! flight, hands each attempt over to its upstream at most once, and is the only process that may
//! report an attempt as not run.

pub mod admin;
pub mod attempt;
pub mod buffer;
pub mod claims;
pub mod connection;
pub mod context;
pub mod coordinator;
pub mod daemon;
pub mod handshakes;
pub mod metrics;
pub mod response;
pub mod settings;
pub mod trial;

pub use daemon::Sidecar;
pub use settings::Settings;
