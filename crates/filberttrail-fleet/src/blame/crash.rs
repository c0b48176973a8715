use crate::loads::IdHash;
use crate::upstream::Incarnation;

/// The crash of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream's id.
    pub upstream: IdHash,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
}
