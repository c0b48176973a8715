//! Admission control for one service: queues requests that find no free slot, or refuses them.
//!
//! The load pattern it is built for is a burst of 1.7 times the usual rate on upstreams that are
//! half full. Slots become free at a known rate. A request whose expected wait exceeds the limit
//! that its target latency allows is refused immediately, with a `Retry-After` time at which a slot
//! should be free. A request that a caller retries after a refusal has already missed its target
//! latency, so it may wait longer but is queued behind requests that can still meet their target.
//! The opposite order would make every request late for as long as the burst lasts.

use crate::Window;
use std::time::Duration;

/// Span over which freed slots are counted to compute `Retry-After` times.
const RETRY_RATE_SPAN: Duration = Duration::from_millis(1_500);
/// Span over which freed slots are counted to estimate the wait of a queued request. Streams that
/// started together end together, so the current rate predicts the rate within a wait of 0.2 s.
const WAIT_RATE_SPAN: Duration = Duration::from_millis(300);
/// Fraction of the target latency that a new request may wait for a slot. The remainder is left for
/// the time to its first event.
const FIRST_WAIT_FRACTION: f64 = 0.5;
/// Longest time that a request retried by its caller may wait for a slot.
const CALLER_RETRY_WAIT: Duration = Duration::from_millis(1_500);
/// Shortest `Retry-After` time.
const RETRY_AFTER_MINIMUM: Duration = Duration::from_millis(500);
/// Shortest `Retry-After` time while a service is down. A lock-step group reports a lost rank after
/// a stall of 1.5 s, so it cannot be back earlier.
const RETRY_AFTER_OUTAGE_MINIMUM: Duration = Duration::from_millis(1_700);
/// Longest `Retry-After` time. Callers honour it up to a third of the time that they have left.
const RETRY_AFTER_MAXIMUM: Duration = Duration::from_millis(2_400);
/// Lower bound on the measured rate of freed slots, in slots per second.
const RATE_MINIMUM: f64 = 2.0;

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Number of the request, unique in its queue.
    pub ticket: u64,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Whether the request is probably a caller's retry of a refused one.
    pub is_caller_retry: bool,
    /// Time at which the request stops waiting for a slot.
    pub deadline: Duration,
    /// Ids of the upstreams that the request must not be sent to.
    pub tried: Vec<String>,
}

/// The admission queue of one service.
#[derive(Debug)]
pub struct Admission {
    waiters: Vec<Waiter>,
    freed: Window,
    recently_freed: Window,
    next_ticket: u64,
}

/// The properties of a request that decide on its admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Whether the request is probably a caller's retry of a refused one.
    pub is_caller_retry: bool,
    /// Target latency of the request's route.
    pub target: Duration,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Ids of the upstreams that the request must not be sent to.
    pub tried: Vec<String>,
}

/// Returns the `Retry-After` time for callers of a service that is down. Callers retry once, so a
/// later retry finds the service available after more outages. `draw` is a uniformly random number
/// from 0 to 1 that spreads the retries.
pub fn retry_after_outage(draw: f64) -> Duration {
    retry_after(RETRY_AFTER_OUTAGE_MINIMUM, draw)
}

/// Decides on a request while all upstreams of its service have asked this entry for a pause, the
/// shortest of which ends at `until`. Returns the `Retry-After` time of a refusal, or `None` if the
/// request can wait until then.
///
/// The load pattern it is built for is upstreams that shed load for some seconds: a request that
/// cannot be sent before it misses its target is refused immediately, and returns when the first
/// upstream accepts requests again.
pub fn refuse_declined(
    now: Duration,
    until: Duration,
    request: &Request,
    draw: f64,
) -> Option<Duration> {
    let pause = until.saturating_sub(now);
    (pause > wait_timeout(request)).then(|| pause + RETRY_AFTER_MINIMUM.mul_f64(draw))
}

/// The decision on a request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request waits for a slot.
    Wait {
        /// Number of the request in the queue.
        ticket: u64,
        /// Time at which the wait ends.
        deadline: Duration,
    },
    /// The request is refused.
    Refuse {
        /// Time after which a slot should be free.
        retry_after: Duration,
    },
}

impl Default for Admission {
    fn default() -> Self {
        Self::new()
    }
}

impl Admission {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiters: Vec::new(),
            freed: Window::new(RETRY_RATE_SPAN),
            recently_freed: Window::new(WAIT_RATE_SPAN),
            next_ticket: 0,
        }
    }

    /// Records that a slot became free.
    pub fn record_freed(&mut self, now: Duration) {
        self.freed.record(now);
        self.recently_freed.record(now);
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Queues or refuses a request that finds no free slot. `draw` is a uniformly random number
    /// from 0 to 1 that spreads the retries of refused requests.
    pub fn decide(&mut self, now: Duration, request: Request, draw: f64) -> Decision {
        let rate = measure_rate(&mut self.recently_freed, now);
        let ahead = self.waiters.iter().filter(|waiter| precedes(waiter, &request)).count();
        let expected = Duration::from_secs_f64((ahead + 1) as f64 / rate);
        let wait_timeout = wait_timeout(&request);
        if expected > wait_timeout {
            return Decision::Refuse { retry_after: self.retry_after(now, draw) };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = now + wait_timeout;
        let Request { priority, is_caller_retry, tried, .. } = request;
        self.waiters.push(Waiter { ticket, priority, is_caller_retry, deadline, tried });
        Decision::Wait { ticket, deadline }
    }

    /// Returns the `Retry-After` time for a request that is refused at `now`.
    pub fn retry_after(&mut self, now: Duration, draw: f64) -> Duration {
        let rate = measure_rate(&mut self.freed, now);
        retry_after(Duration::from_secs_f64((self.waiters.len() + 1) as f64 / rate), draw)
    }

    /// Returns the waiting requests in the order in which they get slots.
    pub fn list_in_order(&self) -> Vec<Waiter> {
        let mut waiters = self.waiters.clone();
        waiters.sort_by_key(|waiter| (waiter.priority, waiter.is_caller_retry, waiter.ticket));
        waiters
    }

    /// Removes a request from the queue. Returns whether it was still waiting.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        before != self.waiters.len()
    }
}

/// Returns how long a request may wait for a slot.
fn wait_timeout(request: &Request) -> Duration {
    let wait_timeout = if request.is_caller_retry {
        CALLER_RETRY_WAIT
    } else {
        request.target.mul_f64(FIRST_WAIT_FRACTION)
    };
    wait_timeout.min(request.time_left / 3)
}

/// Returns the rate of freed slots, in slots per second.
fn measure_rate(freed: &mut Window, now: Duration) -> f64 {
    let span = freed.span().as_secs_f64();
    (freed.count(now) as f64 / span).max(RATE_MINIMUM)
}

fn precedes(waiter: &Waiter, request: &Request) -> bool {
    (waiter.priority, waiter.is_caller_retry) <= (request.priority, request.is_caller_retry)
}

fn retry_after(expected: Duration, draw: f64) -> Duration {
    let least = expected.clamp(RETRY_AFTER_MINIMUM, RETRY_AFTER_MAXIMUM);
    least + (RETRY_AFTER_MAXIMUM - least).mul_f64(draw.clamp(0.0, 1.0))
}
