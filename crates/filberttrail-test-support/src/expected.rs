//! What a server may do with the requests of a case.

/// What a server may do with a [`Case`](crate::case::Case).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// All its requests are valid and complete, with these ids and bodies.
    Runs(Vec<(String, Vec<u8>)>),
    /// It is malformed, not complete or too large: no request of it may be run.
    Nothing,
    /// Its bytes are random. It may contain valid requests by chance.
    Anything,
}
