//! Helpers for the tests of several crates.

pub mod process;
pub mod property;
pub mod usage;
pub mod walk;
