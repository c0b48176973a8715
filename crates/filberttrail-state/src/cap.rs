//! How many requests an upstream is given at once, by all entries together.
//!
//! Invariant: after an engine is found cold, nothing is added while as many requests are in flight
//! as it bears when cold plus one for each answer finished since.

use filberttrail_kernel::id::Incarnation;
use std::time::Duration;

/// An engine with work that shows no progress for so long is taken for cold.
pub const SILENCE: Duration = Duration::from_millis(1_000);
/// A gap between tokens that is so many times the usual one is taken for a cold start.
pub const JUMP: u32 = 8;
/// Gaps below this are not judged, since scheduling noise reaches it; above it nothing is added to
/// an engine at work until it shows progress.
pub const GAP_FLOOR: Duration = Duration::from_millis(250);
/// Gaps smoothed over about so many samples.
const SMOOTHING: u32 = 16;

/// The cap of one upstream.
#[derive(Debug, Clone)]
pub struct Cap {
    cold: u32,
    warm: u32,
    limit: u32,
    in_flight: u32,
    incarnation: Option<Incarnation>,
    former: Option<Incarnation>,
    progress: Duration,
    gap: Duration,
}

impl Cap {
    /// Starts cold, since nothing is known of the engine.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self {
            cold,
            warm,
            limit: cold,
            in_flight: 0,
            incarnation: None,
            former: None,
            progress: Duration::ZERO,
            gap: Duration::ZERO,
        }
    }

    /// Takes one request in, unless the upstream bears no more.
    pub fn admit(&mut self, now: Duration) -> bool {
        if self.in_flight > 0 && now.saturating_sub(self.progress) > SILENCE {
            self.turn_cold();
        }
        let still = now.saturating_sub(self.progress) > GAP_FLOOR;
        if self.in_flight >= self.limit || (self.in_flight >= self.cold && still) {
            return false;
        }
        if self.in_flight == 0 {
            self.progress = now;
        }
        self.in_flight += 1;
        true
    }

    /// Notes a token that came `gap` after the one before it in its stream.
    pub fn record_token(&mut self, gap: Duration, now: Duration) {
        self.progress = now;
        let jump = self.gap * JUMP;
        if gap > GAP_FLOOR && self.gap > Duration::ZERO && gap > jump {
            self.turn_cold();
            return;
        }
        if self.gap == Duration::ZERO {
            self.gap = gap;
            return;
        }
        self.gap = (self.gap * (SMOOTHING - 1) + gap) / SMOOTHING;
    }

    /// Notes that a request ended; only a whole answer is evidence that the upstream bears more.
    pub fn finish(&mut self, whole: bool, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.progress = now;
        if whole {
            self.limit = (self.limit + 1).min(self.warm);
        } else {
            self.turn_cold();
        }
    }

    /// Notes that a request ended by the caller's doing, which says nothing about the upstream.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes the engine's life as a load report or a refusal gives it. Reports lag behind, so the life
    /// before the known one is not taken back.
    pub fn observe(&mut self, incarnation: Incarnation) {
        if self.incarnation != Some(incarnation) && self.former != Some(incarnation) {
            self.former = self.incarnation.replace(incarnation);
            self.turn_cold();
        }
    }

    /// Returns the engine's life, once known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Sets new limits from the configuration; a higher one is still reached by evidence.
    pub fn configure(&mut self, cold: u32, warm: u32) {
        self.cold = cold;
        self.warm = warm;
        self.limit = self.limit.clamp(cold, warm);
    }

    fn turn_cold(&mut self) {
        self.limit = self.cold;
    }

    /// Returns how many requests it bears now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the smoothed gap between tokens.
    pub fn gap(&self) -> Duration {
        self.gap
    }
}
