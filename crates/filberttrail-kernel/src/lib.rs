//! Types shared by all crates: errors, ids, clocks, digests and the plug-in registry.

pub mod clock;
pub mod digest;
pub mod error;
pub mod id;
pub mod mechanism;
pub mod plugin;

pub use clock::Clock;
pub use error::{Detail, Error, Result};
pub use mechanism::{Disabled, Mechanism};
