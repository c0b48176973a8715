//! What the log says about the bodies that hold memory.

/// The number of bodies that hold memory, and the teams that hold most of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of bodies, without those that came in one small read.
    pub bodies: usize,
    /// The teams that hold the most, with their bytes.
    pub largest: Vec<(String, usize)>,
}
