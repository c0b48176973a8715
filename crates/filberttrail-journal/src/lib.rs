//! Structured logs: one JSON line per decision. Logging never blocks the caller.

pub mod journal;
pub mod reload;

pub use journal::Journal;
