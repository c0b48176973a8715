//! How requests wait for a slot, and when they are turned away.
//!
//! Load pattern: a burst of 1.7 times the usual on upstreams that are half full. Slots free up at a
//! known rate; whoever would wait longer than its target allows is turned away at once, and told to
//! come back when there is room. A request that comes back after a refusal has missed its target
//! already: it waits longer, behind those that can still be served in time. The other order would
//! serve all of them late for as long as the load lasts.

use crate::Window;
use std::time::Duration;

/// The span over which freed slots are counted for those who are to come back.
const RATE_SPAN: Duration = Duration::from_millis(1_500);
/// The same for those who would wait: streams that began together end together, so what is freed
/// within a wait of 0.2 s is told by what is freed now.
const WAIT_SPAN: Duration = Duration::from_millis(300);
/// The part of the target that a new request may wait for a slot; the rest is for its first event.
const FRESH_PART: f64 = 0.5;
/// How long a returned request may wait for a slot.
const RETURNED_WAIT: Duration = Duration::from_millis(1_500);
/// The shortest time after which to come back.
const RETRY_MINIMUM: Duration = Duration::from_millis(500);
/// The shortest time after which to come back to a service that is down: a lock-step group reports a
/// lost rank after a stall of 1.5 s, and is not back before.
const OUTAGE_MINIMUM: Duration = Duration::from_millis(1_700);
/// The longest time after which to come back; callers honour a third of what they have left.
const RETRY_MAXIMUM: Duration = Duration::from_millis(2_400);
/// Slots freed a second that are assumed before any was.
const RATE_MINIMUM: f64 = 2.0;

/// One who waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Its number, unique in its queue.
    pub ticket: u64,
    /// Its rank, 0 first.
    pub priority: u8,
    /// Whether it comes back after a refusal.
    pub returned: bool,
    /// Until when it is worth its place.
    pub until: Duration,
    /// Upstreams that it must not go to.
    pub tried: Vec<String>,
}

/// The queue of one service.
#[derive(Debug)]
pub struct Admission {
    waiters: Vec<Waiter>,
    freed: Window,
    freed_now: Window,
    tickets: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Its rank, 0 first.
    pub priority: u8,
    /// Whether it comes back after a refusal.
    pub returned: bool,
    /// The latency that it aims for.
    pub target: Duration,
    /// What is left until it must have its answer.
    pub left: Duration,
    /// Upstreams that it must not go to.
    pub tried: Vec<String>,
}

/// Returns after which time callers of a service that is down should come back. They come back once:
/// the later, the more outages are over. `draw` is from 0 to 1 and spreads returns.
pub fn retry_after_outage(draw: f64) -> Duration {
    retry_after(OUTAGE_MINIMUM, draw)
}

/// What becomes of a request that finds no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits under this ticket, until this time at most.
    Wait {
        /// The ticket.
        ticket: u64,
        /// Until when.
        until: Duration,
    },
    /// It is turned away, to come back after this time.
    Refuse {
        /// After which time there should be room.
        after: Duration,
    },
}

impl Default for Admission {
    fn default() -> Self {
        Self::new()
    }
}

impl Admission {
    /// Starts an empty queue.
    pub fn new() -> Self {
        Self {
            waiters: Vec::new(),
            freed: Window::new(RATE_SPAN),
            freed_now: Window::new(WAIT_SPAN),
            tickets: 0,
        }
    }

    /// Notes that a slot was freed.
    pub fn note_freed(&mut self, now: Duration) {
        self.freed.note(now);
        self.freed_now.note(now);
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Decides on a request that finds no free slot. `draw` is from 0 to 1 and spreads returns.
    pub fn decide(&mut self, now: Duration, ask: Ask, draw: f64) -> Verdict {
        let rate = rate(&mut self.freed_now, now);
        let first = self.waiters.iter().filter(|waiter| goes_first(waiter, &ask)).count();
        let expected = Duration::from_secs_f64((first + 1) as f64 / rate);
        let patience = self.patience(&ask);
        if expected > patience {
            return Verdict::Refuse { after: self.retry_after(now, draw) };
        }
        let ticket = self.tickets;
        self.tickets += 1;
        let until = now + patience;
        let Ask { priority, returned, tried, .. } = ask;
        self.waiters.push(Waiter { ticket, priority, returned, until, tried });
        Verdict::Wait { ticket, until }
    }

    /// Returns after which time somebody who is turned away now should come back.
    pub fn retry_after(&mut self, now: Duration, draw: f64) -> Duration {
        let rate = rate(&mut self.freed, now);
        retry_after(Duration::from_secs_f64((self.waiters.len() + 1) as f64 / rate), draw)
    }

    /// Returns the waiters in the order in which they are to be served.
    pub fn in_order(&self) -> Vec<Waiter> {
        let mut waiters = self.waiters.clone();
        waiters.sort_by_key(|waiter| (waiter.priority, waiter.returned, waiter.ticket));
        waiters
    }

    /// Takes somebody out of the queue; returns whether it still waited.
    pub fn leave(&mut self, ticket: u64) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        before != self.waiters.len()
    }

    fn patience(&self, ask: &Ask) -> Duration {
        let patience = if ask.returned { RETURNED_WAIT } else { ask.target.mul_f64(FRESH_PART) };
        patience.min(ask.left / 3)
    }
}

/// Returns how many slots are freed a second.
fn rate(freed: &mut Window, now: Duration) -> f64 {
    let span = freed.span().as_secs_f64();
    (freed.count(now) as f64 / span).max(RATE_MINIMUM)
}

fn goes_first(waiter: &Waiter, ask: &Ask) -> bool {
    (waiter.priority, waiter.returned) <= (ask.priority, ask.returned)
}

fn retry_after(expected: Duration, draw: f64) -> Duration {
    let least = expected.clamp(RETRY_MINIMUM, RETRY_MAXIMUM);
    least + (RETRY_MAXIMUM - least).mul_f64(draw.clamp(0.0, 1.0))
}
