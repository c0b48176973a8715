//! How much an upstream takes of an entry: whether it is leaving, has asked for a pause, or has named
//! a limit for all entries together.
//!
//! Load pattern: most upstreams of a busy service name a limit of half of what they take otherwise,
//! at the same moment, and later lift it at the same moment. First tries, retries, resumed streams
//! and trials all count. Each entry gets whole requests of the limit, by its rank among the entries,
//! so that the shares of all entries add up to the limit; a lifted limit rises step by step.

use crate::Window;
use std::time::Duration;

/// Span over which requests are counted. It is longer than the 4 s over which upstreams count, as
/// requests that are sent within 4.5 s may arrive within 4 s.
pub const SPAN: Duration = Duration::from_millis(4_500);
/// Time after which a limit is forgotten that no answer and no other entry has named again. Within
/// it, entries with a share get an answer, and the others hear of it.
const LIFETIME: Duration = Duration::from_secs(10);
/// Time in which the allowance of a lifted limit doubles.
const DOUBLING_TIME: Duration = Duration::from_millis(1_000);
/// Time after which a lifted limit is forgotten: its allowance is 32 times as large then.
const RECOVERY_TIME: Duration = Duration::from_millis(5_000);

/// What a response says about a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Named {
    /// There is no limit.
    #[default]
    Nothing,
    /// The value is not valid, so the response says nothing.
    Unreadable,
    /// The requests per second that the upstream takes from all entries together.
    Limit(f64),
}

/// A limit that an upstream has named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second from all entries together.
    pub per_second: f64,
    /// Time at which it was last named, or heard to be named.
    pub named_at: Duration,
    /// Time at which the upstream has stopped naming it.
    pub lifted_at: Option<Duration>,
}

impl Limit {
    /// Returns the number of requests that all entries may send within [`SPAN`]. At least one, as an
    /// upstream that gets nothing cannot say that it takes more.
    fn allowance(&self, now: Duration) -> f64 {
        let doublings = self
            .lifted_at
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64() / DOUBLING_TIME.as_secs_f64());
        (self.per_second * SPAN.as_secs_f64()).max(1.0).floor() * doublings.exp2()
    }

    /// Returns the time of the last news: that it was named, or that it is named no more.
    fn changed_at(&self) -> Duration {
        self.lifted_at.unwrap_or(self.named_at)
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.named_at + LIFETIME
            || self.lifted_at.is_some_and(|at| now >= at + RECOVERY_TIME)
    }
}

/// How much an upstream takes of this entry.
#[derive(Debug)]
pub struct Intake {
    /// Whether the upstream has said that it is about to stop. It stays so for its incarnation.
    pub leaving: bool,
    declined_until: Duration,
    limit: Option<Limit>,
    sends: Window,
    /// Number of entries that come before this one when a limit is divided.
    rank: usize,
}

impl Default for Intake {
    fn default() -> Self {
        Self::new()
    }
}

impl Intake {
    /// Creates the state of an upstream that takes whatever its slots allow.
    pub fn new() -> Self {
        let (leaving, declined_until, limit) = (false, Duration::ZERO, None);
        Self { leaving, declined_until, limit, sends: Window::new(SPAN), rank: 0 }
    }

    /// Discards what an earlier incarnation has said.
    pub fn reset(&mut self) {
        *self = Self { rank: self.rank, ..Self::new() };
    }

    /// Sets the number of entries that come before this one when a limit is divided.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Records a request to the upstream.
    pub fn record_send(&mut self, now: Duration) {
        self.sends.record(now);
    }

    /// Records that the upstream wants no requests from this entry until a time.
    pub fn decline_until(&mut self, until: Duration) {
        self.declined_until = self.declined_until.max(until);
    }

    /// Records what the response to a request says about a limit. Responses overtake each other: it
    /// replaces only what was named before the request was sent. Otherwise the lower limit counts.
    ///
    /// Returns whether the limit has changed.
    pub fn record_named(&mut self, sent_at: Duration, now: Duration, named: Named) -> bool {
        self.expire(now);
        let before = self.limit;
        let is_later = before.is_none_or(|limit| sent_at >= limit.named_at);
        match (named, &mut self.limit) {
            (Named::Unreadable, _) | (Named::Nothing, None) => {}
            (Named::Nothing, Some(limit)) => {
                if is_later && limit.lifted_at.is_none() {
                    limit.lifted_at = Some(now);
                }
            }
            (Named::Limit(per_second), limit) => {
                let lower = limit.filter(|_| !is_later).map(|limit| limit.per_second);
                let per_second = per_second.min(lower.unwrap_or(f64::INFINITY));
                *limit = Some(Limit { per_second, named_at: now, lifted_at: None });
            }
        }
        let value = |limit: Option<Limit>| limit.map(|limit| (limit.per_second, limit.lifted_at));
        value(before) != value(self.limit)
    }

    /// Records a limit that another entry knows, as of a time of this entry's clock.
    pub fn record_told(&mut self, told: Limit) {
        if self.limit.is_none_or(|limit| told.changed_at() > limit.changed_at()) {
            self.limit = Some(told);
        }
    }

    /// Returns the limit, if the upstream has one.
    pub fn limit(&self, now: Duration) -> Option<Limit> {
        self.limit.filter(|limit| !limit.is_over(now))
    }

    /// Returns the time from which the upstream takes another request of this entry, given the number
    /// of entries: `now` or before if it does. Without a share, that is not known: the limit may be
    /// raised or lapse.
    pub fn opens_at(&mut self, now: Duration, entries: usize) -> Duration {
        self.expire(now);
        let Some(limit) = self.limit else { return self.declined_until };
        let allowance = limit.allowance(now) as usize;
        let entries = entries.max(1);
        let share = allowance / entries + usize::from(self.rank < allowance % entries);
        if share == 0 {
            return now + SPAN;
        }
        self.sends.opens_at(now, share).max(self.declined_until)
    }

    /// Returns whether the upstream takes another request of this entry, given the number of entries.
    pub fn is_open(&mut self, now: Duration, entries: usize) -> bool {
        self.opens_at(now, entries) <= now
    }

    fn expire(&mut self, now: Duration) {
        self.limit = self.limit(now);
    }
}
