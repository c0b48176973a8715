//! Helpers for the tests of several crates.

pub mod case;
pub mod expected;
pub mod framing;
pub mod panics;
pub mod process;
pub mod property;
pub mod response;
pub mod usage;
pub mod walk;
pub mod wire;
