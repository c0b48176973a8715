//! Adaptive concurrency limit of one upstream, shared by all entries.
//!
//! An engine that has just started is cold: it handles fewer concurrent requests than a warm one.
//!
//! Invariant: after an engine is found to be cold, no request is admitted while the number of
//! requests in flight is at least the cold limit plus one for each response completed since.

use filberttrail_kernel::id::Incarnation;
use std::time::Duration;

/// An engine with requests in flight that makes no progress for this long is considered cold.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A gap between tokens that is longer than the smoothed gap by this factor indicates a cold start.
pub const COLD_GAP_FACTOR: u32 = 8;
/// Shortest gap that may indicate a cold start; scheduling noise causes gaps up to this length. If
/// the last progress is longer ago than this, no request is added above the cold limit.
pub const GAP_FLOOR: Duration = Duration::from_millis(250);
/// Approximate number of samples over which the gap between tokens is averaged exponentially.
const SMOOTHING_SAMPLES: u32 = 16;

/// The concurrency limit of one upstream and the observations that it is derived from.
#[derive(Debug, Clone)]
pub struct Cap {
    cold: u32,
    warm: u32,
    limit: u32,
    in_flight: u32,
    incarnation: Option<Incarnation>,
    previous_incarnation: Option<Incarnation>,
    last_progress: Duration,
    smoothed_gap: Duration,
}

impl Cap {
    /// Starts at the cold limit, because the state of the engine is unknown. Both limits are
    /// numbers of concurrent requests.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self {
            cold,
            warm,
            limit: cold,
            in_flight: 0,
            incarnation: None,
            previous_incarnation: None,
            last_progress: Duration::ZERO,
            smoothed_gap: Duration::ZERO,
        }
    }

    /// Counts one more request in flight and returns `true`, unless the limit is reached.
    pub fn admit(&mut self, now: Duration) -> bool {
        if self.in_flight > 0 && now.saturating_sub(self.last_progress) > PROGRESS_TIMEOUT {
            self.reset_to_cold();
        }
        let stalled = now.saturating_sub(self.last_progress) > GAP_FLOOR;
        if self.in_flight >= self.limit || (self.in_flight >= self.cold && stalled) {
            return false;
        }
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
        true
    }

    /// Records a token that was received `gap` after the previous one in the same stream.
    pub fn record_token(&mut self, gap: Duration, now: Duration) {
        self.last_progress = now;
        let cold_gap = self.smoothed_gap * COLD_GAP_FACTOR;
        if gap > GAP_FLOOR && self.smoothed_gap > Duration::ZERO && gap > cold_gap {
            self.reset_to_cold();
            return;
        }
        if self.smoothed_gap == Duration::ZERO {
            self.smoothed_gap = gap;
            return;
        }
        self.smoothed_gap = (self.smoothed_gap * (SMOOTHING_SAMPLES - 1) + gap) / SMOOTHING_SAMPLES;
    }

    /// Records the end of a request. A complete response raises the limit by one, up to the warm
    /// limit; any other end resets it to the cold limit.
    pub fn finish(&mut self, complete: bool, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_progress = now;
        if complete {
            self.limit = (self.limit + 1).min(self.warm);
        } else {
            self.reset_to_cold();
        }
    }

    /// Records the end of a request that the caller cancelled, which leaves the limit unchanged.
    pub fn cancel(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the engine's incarnation from a load report or a rejected request. Load reports can
    /// arrive late, so the incarnation before the current one is ignored.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation != Some(incarnation) && self.previous_incarnation != Some(incarnation) {
            self.previous_incarnation = self.incarnation.replace(incarnation);
            self.reset_to_cold();
        }
    }

    /// Returns the engine's incarnation, or `None` if it is not known yet.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Sets new cold and warm limits. The current limit is only clamped to them: a higher warm
    /// limit is reached one completed response at a time.
    pub fn configure(&mut self, cold: u32, warm: u32) {
        self.cold = cold;
        self.warm = warm;
        self.limit = self.limit.clamp(cold, warm);
    }

    fn reset_to_cold(&mut self) {
        self.limit = self.cold;
    }

    /// Returns the current limit, in concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the smoothed gap between tokens, or zero before the first token.
    pub fn smoothed_gap(&self) -> Duration {
        self.smoothed_gap
    }
}
