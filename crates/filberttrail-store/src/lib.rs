//! Clients of the platform's object API, and the configuration that is stored there.

pub mod client;
pub mod configuration;
pub mod dialect;
pub mod feed;
pub mod follow;
pub mod proof;
pub mod revision;
pub mod slowdown;
pub mod status;
mod watcher;

pub use client::{Platform, Write};
pub use feed::Objects;
pub use proof::Proof;
