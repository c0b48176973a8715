//! The kinds of use that memory is divided between.

/// A kind of use of memory. A flood of one kind does not use up the memory of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Request bodies, until their request ends.
    Requests,
    /// Response bodies of upstreams, until the caller has taken them.
    Responses,
    /// Open connections, with their read buffers and unread bytes.
    Connections,
    /// Messages between entries.
    Peers,
}

impl Part {
    /// All parts, in the order of their indices.
    pub const ALL: [Self; 4] = [Self::Requests, Self::Responses, Self::Connections, Self::Peers];

    /// Returns the name for metrics and the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Connections => "connections",
            Self::Peers => "peers",
        }
    }
}
