//! Why memory was denied.

/// Why a body or a connection did not get or keep memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// There was no room, and nothing else could give way.
    Refused,
    /// It gave way to another.
    Evicted,
}

impl Cause {
    /// All causes, in the order of their indices.
    pub const ALL: [Self; 2] = [Self::Refused, Self::Evicted];

    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Evicted => "evicted",
        }
    }
}
