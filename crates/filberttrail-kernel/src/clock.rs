//! An abstract monotonic clock, so that tests can control time.

use nix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Returns the time since the clock's origin; never decreases.
    fn now(&self) -> Duration;
}

/// A clock shared between the tasks of one process.
pub type Shared = Arc<dyn Clock>;

/// The system's monotonic clock, with its origin at construction; excludes time in suspension.
#[derive(Debug)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Creates a shared clock that starts at zero.
    pub fn shared() -> Shared {
        Arc::new(Self::new())
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// The system's time since boot (`CLOCK_BOOTTIME`), which includes time in suspension.
///
/// Returns zero if the clock cannot be read.
#[derive(Debug, Default)]
pub struct Boot;

impl Boot {
    /// Creates a shared boot-time clock.
    pub fn shared() -> Shared {
        Arc::new(Self)
    }
}

impl Clock for Boot {
    fn now(&self) -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
    }
}

/// A clock for tests that advances only by [`Manual::advance`].
#[derive(Debug, Default)]
pub struct Manual {
    now: Mutex<Duration>,
}

impl Manual {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock forward by a duration.
    pub fn advance(&self, by: Duration) {
        if let Ok(mut now) = self.now.lock() {
            *now += by;
        }
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        self.now.lock().map(|now| *now).unwrap_or_default()
    }
}
