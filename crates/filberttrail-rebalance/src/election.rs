//! Election of the rank that coordinates a group, by timeouts.
//!
//! Load pattern: a group of 32 ranks is partitioned for some seconds and opens again. No rank
//! received calls from a coordinator during the partition. The map change that the group then
//! needs must be coordinated by one rank, not by every rank that assumes the lower ranks are down.

use crate::peer::Contact;
use crate::report::Report;
use std::time::Duration;

/// Time without calls from a lower-ranked coordinator after which a rank takes over. Rank 0 does
/// not wait; other ranks add a delay for each rank below them.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Additional wait per rank, so that ranks take over one after the other.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(250);

/// A rank's view of who coordinates its group.
#[derive(Debug, Clone, Default)]
pub struct Election {
    /// The epoch in which the group is open, and when this rank first saw it open.
    open_since: Option<(u64, Duration)>,
}

impl Election {
    /// Creates an election state for a group whose state is not known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the state when the rank's engine cannot be reached.
    pub fn note_engine_unreachable(&mut self) {
        self.open_since = None;
    }

    /// Decides whether this rank coordinates the group now. The lowest rank from which calls
    /// arrive coordinates; without calls, higher ranks take over one after the other.
    pub fn should_coordinate(
        &mut self,
        report: &Report,
        last_contact: Option<Contact>,
        now: Duration,
    ) -> bool {
        if !report.open || report.size < 2 {
            self.open_since = None;
            return false;
        }
        let since = match self.open_since {
            Some((epoch, since)) if epoch == report.epoch => since,
            _ => now,
        };
        self.open_since = Some((report.epoch, since));
        let timeout = TAKEOVER_TIMEOUT + TAKEOVER_STAGGER * report.rank as u32;
        match last_contact {
            Some(last_contact) if last_contact.rank < report.rank => {
                now > last_contact.at.max(since) + timeout
            }
            _ => report.rank == 0 || now > since + timeout,
        }
    }
}
