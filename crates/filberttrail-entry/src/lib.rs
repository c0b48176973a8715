//! The entry: accepts callers' HTTP requests, routes them and sends them to sidecars as frames.

pub mod admin;
pub mod admission;
pub mod call;
pub mod context;
pub mod daemon;
pub mod disconnect;
pub mod dispatch;
pub mod events;
pub mod http;
pub mod journal;
pub mod metrics;
pub mod pending_attempt;
pub mod pool;
pub mod response;
pub mod settings;
pub mod upstream;

pub use daemon::Entry;
pub use settings::Settings;
