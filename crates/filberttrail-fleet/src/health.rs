//! What answers say of an upstream's health.
//!
//! Load pattern: an upstream fails part of its requests, or all, while its health check passes.
//! Failures raise its cost; a run of them keeps new work away for a while that
//! doubles, and after it one request at a time is tried until one succeeds. The cost of failures
//! fades, since an upstream that gets no work cannot show that it is sound again.

use std::time::Duration;

/// The weight of the newest outcome.
const NEWEST: f64 = 0.2;
/// The time in which the cost of failures fades to a half; at light load a sound upstream is tried
/// again within half a minute, and one that still fails gets little meanwhile.
const FADING: Duration = Duration::from_millis(4_000);
/// Failures in a row that keep new work away.
const RUN: u32 = 3;
/// How long new work is kept away at first.
const PAUSE: Duration = Duration::from_millis(400);
/// How long it is kept away at most; long enough to spare callers, short enough to notice a return.
const PAUSE_LIMIT: Duration = Duration::from_millis(3_200);

/// The health of one upstream as one entry sees it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failing: f64,
    /// When that was so.
    judged: Duration,
    run: u32,
    pauses: u32,
    away_until: Duration,
    suspect: bool,
}

impl Health {
    /// Starts with an upstream that never failed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an answer that was as it should be.
    pub fn note_success(&mut self, now: Duration) {
        self.judge(0.0, now);
        self.run = 0;
        self.pauses = 0;
        self.suspect = false;
    }

    /// Notes a failure; returns whether it begins a pause.
    pub fn note_failure(&mut self, now: Duration) -> bool {
        self.judge(1.0, now);
        self.run += 1;
        if self.run < RUN || self.paused(now) {
            return false;
        }
        self.pause(now);
        true
    }

    /// Keeps new work away at once, as after a refused connection.
    pub fn pause(&mut self, now: Duration) {
        let pause = PAUSE * 2u32.pow(self.pauses.min(4));
        self.pauses += 1;
        self.suspect = true;
        self.away_until = now + pause.min(PAUSE_LIMIT);
    }

    /// Marks it as failed with its group: one request at a time is tried until one succeeds.
    pub fn suspect(&mut self) {
        self.suspect = true;
    }

    /// Returns whether it failed and has not succeeded since.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Keeps new work away until a time.
    pub fn pause_until(&mut self, until: Duration) {
        self.away_until = self.away_until.max(until);
    }

    /// Returns whether new work is kept away.
    pub fn paused(&self, now: Duration) -> bool {
        now < self.away_until
    }

    /// Returns the recent part of failures, from 0 to 1.
    pub fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.judged);
        self.failing * 0.5_f64.powf(age.as_secs_f64() / FADING.as_secs_f64())
    }

    fn judge(&mut self, outcome: f64, now: Duration) {
        let failing = self.failing(now);
        self.failing = failing + NEWEST * (outcome - failing);
        self.judged = now;
    }
}
