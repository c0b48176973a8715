//! The outcome of a request for the health of its upstream.

/// The outcome of a request for the health of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded successfully.
    Success,
    /// The upstream failed, or broke off its response.
    Failure,
    /// The upstream accepted no connection.
    Unreachable,
    /// Another upstream responded at the address.
    Replaced,
    /// The upstream refused the request for lack of a free slot.
    Full,
}
