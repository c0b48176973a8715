//! A time during which memory of one part is short.

use std::time::Duration;

/// Time without a refusal after which a shortage is over. Shorter pauses between waves of a flood would
/// give a pair of log lines for each wave.
pub const QUIET: Duration = Duration::from_secs(5);

/// The current shortage of one part, if there is one.
#[derive(Debug, Default)]
pub struct Shortage {
    last: Option<Duration>,
    refused: u64,
}

impl Shortage {
    /// Creates the state of a part that is not short.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a body was evicted or refused. Returns whether a shortage starts with it.
    pub fn record(&mut self, now: Duration) -> bool {
        self.refused += 1;
        self.last.replace(now).is_none()
    }

    /// Returns the number of bodies that were evicted or refused in a shortage that is over, once.
    pub fn end(&mut self, now: Duration) -> Option<u64> {
        let last = self.last?;
        if now.saturating_sub(last) < QUIET {
            return None;
        }
        self.last = None;
        Some(std::mem::take(&mut self.refused))
    }
}
