//! The sizes of the parts of a budget.

use crate::memory::Part;

/// The number of bytes of each part of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Bytes of request bodies.
    pub requests: usize,
    /// Bytes of response bodies.
    pub responses: usize,
    /// Bytes of connections.
    pub connections: usize,
    /// Bytes of messages between entries.
    pub peers: usize,
}

impl Sizes {
    /// Divides the memory of a process. The 15% that remain are for the process itself.
    pub fn with_memory(bytes: usize) -> Self {
        let percent = |share: usize| bytes / 100 * share;
        Self {
            requests: percent(30),
            responses: percent(25),
            connections: percent(25),
            peers: percent(5),
        }
    }

    /// Returns the number of bytes of a part.
    pub fn of(&self, part: Part) -> usize {
        match part {
            Part::Requests => self.requests,
            Part::Responses => self.responses,
            Part::Connections => self.connections,
            Part::Peers => self.peers,
        }
    }
}
