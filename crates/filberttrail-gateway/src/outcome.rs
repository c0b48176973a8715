//! What a request told of its upstream.

/// What a request told of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Success,
    /// It failed, or broke off.
    Failure,
    /// It takes no connections.
    Unreachable,
    /// Another upstream has its address.
    Replaced,
    /// It has no room.
    Full,
}
