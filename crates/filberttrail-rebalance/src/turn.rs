//! Whose turn it is to coordinate a group.
//!
//! Load pattern: a group of 32 ranks is cut apart for seconds and opens again. Nobody was heard
//! meanwhile, and the change of map that the group needs then is to be one rank's work, not that of all
//! who believe that the others are gone.

use crate::peer::Heard;
use crate::report::Report;
use std::time::Duration;

/// How long a rank's coordinator may be unheard before the next rank takes over.
pub const TAKE_OVER: Duration = Duration::from_millis(800);
/// How much longer each further rank waits.
const TAKE_OVER_STEP: Duration = Duration::from_millis(250);

/// What a rank knows of its group's openness.
#[derive(Debug, Clone, Default)]
pub struct Turn {
    /// The epoch in which the group is open, and since when this rank has seen that.
    open: Option<(u64, Duration)>,
}

impl Turn {
    /// Starts with a group that was not seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the rank's engine does not report.
    pub fn note_silence(&mut self) {
        self.open = None;
    }

    /// Decides whether a rank coordinates now: the lowest one that is heard does, and the others step
    /// in one after the other.
    pub fn is_mine(&mut self, report: &Report, heard: Option<Heard>, now: Duration) -> bool {
        if !report.open || report.size < 2 {
            self.open = None;
            return false;
        }
        let since = match self.open {
            Some((epoch, since)) if epoch == report.epoch => since,
            _ => now,
        };
        self.open = Some((report.epoch, since));
        let patience = TAKE_OVER + TAKE_OVER_STEP * report.rank as u32;
        match heard {
            Some(heard) if heard.rank < report.rank => now > heard.at.max(since) + patience,
            _ => report.rank == 0 || now > since + patience,
        }
    }
}
