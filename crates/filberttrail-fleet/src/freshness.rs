//! Detects that the process was paused, and tells when its knowledge is fresh again.
//!
//! Load pattern: a VM freezes for some seconds with requests waiting in its sockets. When it wakes,
//! the configuration, the registrations and the data centres out of service that it knows may have
//! been replaced, and it must not act on them before it has read them again.

use std::time::Duration;

/// Gap between two ticks from which the process counts as paused. Ticks are at most 0.3 s apart.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Longest time for which requests wait for fresh knowledge. The store responds within some tenths
/// of a second, or is unavailable, and then what is known stays in use.
const REFRESH_LIMIT: Duration = Duration::from_millis(500);

/// Whether what an entry knows was read since it last woke from a pause.
#[derive(Debug, Default)]
pub struct Freshness {
    last_tick: Option<Duration>,
    stale_since: Option<Duration>,
    /// Parts that were read since then.
    refreshed: Vec<&'static str>,
}

impl Freshness {
    /// Records a tick of the process, and returns the length of the pause if there was one before
    /// it.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap < PAUSE_THRESHOLD {
            return None;
        }
        self.stale_since = Some(now);
        self.refreshed.clear();
        Some(gap)
    }

    /// Records that one of the `parts` of the knowledge was read. It is fresh once all were.
    pub fn record_read(&mut self, part: &'static str, parts: &[&'static str]) {
        if self.stale_since.is_none() || self.refreshed.contains(&part) {
            return;
        }
        self.refreshed.push(part);
        if parts.iter().all(|part| self.refreshed.contains(part)) {
            self.stale_since = None;
        }
    }

    /// Returns whether requests have to wait for fresh knowledge. Also true if the process has just
    /// woken and the tick is still due.
    pub fn is_stale(&self, now: Duration) -> bool {
        let overdue = self.last_tick.is_some_and(|at| now >= at + PAUSE_THRESHOLD);
        overdue || self.stale_since.is_some_and(|at| now < at + REFRESH_LIMIT)
    }
}
