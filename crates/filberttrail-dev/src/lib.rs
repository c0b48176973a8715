//! Runs a whole estate on loopback in one process: stand-ins, sidecars and entries.
//!
//! Each component has a thread of its own, so that a test can kill, freeze and restart it as if it
//! were a process.

pub mod caller;
pub mod component;
pub mod estate;
mod listener;
pub mod ready_file;

pub use caller::Caller;
pub use component::Component;
pub use estate::{Estate, Options};
pub use ready_file::ReadyFile;
