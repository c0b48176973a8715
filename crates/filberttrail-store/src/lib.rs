//! The platform's object API as a client sees it, and the configuration kept there.

pub mod client;
pub mod configuration;
pub mod feed;
pub mod follow;
pub mod slowdown;
pub mod status;

pub use client::{Platform, Write};
pub use feed::Objects;
