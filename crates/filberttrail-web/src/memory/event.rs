//! The start or the end of a shortage, for the log.

use crate::crowd::Report;
use crate::memory::Part;

/// The start or the end of a shortage of one part of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The part that is or was short.
    pub part: Part,
    /// Number of bytes that are used.
    pub used: usize,
    /// Number of bytes of the part.
    pub size: usize,
    /// Number of bodies and connections that were refused or evicted, at the end of the shortage.
    pub denied: Option<u64>,
    /// The bodies that hold memory.
    pub report: Report,
}
