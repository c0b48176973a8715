//! What the log says about the bodies that hold memory.

use std::fmt;

/// The number of bodies that hold memory, and the teams that hold most of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of bodies, without those that came in one small read.
    pub bodies: usize,
    /// The teams that hold the most, with their bytes.
    pub largest: Vec<(String, usize)>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let teams = self.largest.iter().map(|(team, bytes)| format!("{team:?}:{bytes}"));
        let teams: Vec<String> = teams.collect();
        write!(formatter, "bodies={} largest_teams=[{}]", self.bodies, teams.join(","))
    }
}
