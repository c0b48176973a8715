//! A response as it was received.

/// A response that a server sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}
