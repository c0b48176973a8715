//! The options of the measurement.

/// The size of a crowd and of the measurement.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Connections of the crowd.
    pub connections: usize,
    /// Chunks of one byte that each connection sends per second.
    pub chunks_per_second: usize,
    /// Ordinary requests that are measured, without and with the crowd.
    pub requests: usize,
}
