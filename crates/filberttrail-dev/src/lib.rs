//! A whole estate on loopback in one process: stand-ins, sidecars and entries.
//!
//! Each role has a thread of its own, so that a test can kill one, freeze one and start it again,
//! as happens to processes.

mod bound;
pub mod caller;
pub mod component;
pub mod estate;
pub mod ready;

pub use caller::Caller;
pub use component::Component;
pub use estate::{Estate, Options};
pub use ready::Ready;
