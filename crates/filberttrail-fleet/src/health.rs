//! The health of an upstream, derived from its responses.
//!
//! The load pattern it is built for is an upstream that fails some or all of its requests while its
//! health check passes. Each failure raises the upstream's cost. Consecutive failures pause it for
//! a time that doubles with each pause. After a pause, one request at a time is sent until one
//! succeeds. The cost of failures decays over time, because an upstream that gets no requests
//! cannot show that it has recovered.

use std::time::Duration;

/// Weight of the newest outcome in the exponentially weighted failure rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate. At light load, a recovered upstream is tried again within half a
/// minute, and one that still fails gets few requests until then.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(4_000);
/// Number of consecutive failures that pause an upstream.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// Length of the first pause.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Upper bound on the length of a pause: long enough to spare callers, short enough to notice a
/// recovery.
const PAUSE_LIMIT: Duration = Duration::from_millis(3_200);

/// The health of one upstream as one entry observes it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_rate: f64,
    /// Time at which `failure_rate` was computed.
    updated_at: Duration,
    consecutive_failures: u32,
    pause_count: u32,
    paused_until: Duration,
    suspect: bool,
}

impl Health {
    /// Creates the health of an upstream that has never failed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a successful response and resets the counts of failures and pauses.
    pub fn record_success(&mut self, now: Duration) {
        self.record_outcome(0.0, now);
        self.consecutive_failures = 0;
        self.pause_count = 0;
        self.suspect = false;
    }

    /// Records a failure. Returns whether it starts a pause.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.record_outcome(1.0, now);
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_BEFORE_PAUSE || self.is_paused(now) {
            return false;
        }
        self.pause(now);
        true
    }

    /// Pauses the upstream immediately, for example after a refused connection.
    pub fn pause(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2u32.pow(self.pause_count.min(4));
        self.pause_count += 1;
        self.suspect = true;
        self.paused_until = now + pause.min(PAUSE_LIMIT);
    }

    /// Marks the upstream as suspect after a failure of its group: one request at a time is sent
    /// until one succeeds.
    pub fn mark_suspect(&mut self) {
        self.suspect = true;
    }

    /// Returns whether the upstream is suspect, that is, has not succeeded since it was paused or
    /// marked.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Extends the pause to `until`, if it does not last longer already.
    pub fn pause_until(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns whether the upstream gets no new requests.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Returns the smoothed fraction of failed requests, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record_outcome(&mut self, outcome: f64, now: Duration) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + NEWEST_WEIGHT * (outcome - failure_rate);
        self.updated_at = now;
    }
}
