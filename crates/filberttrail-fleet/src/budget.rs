//! One entry's share of a service's retry budget.
//!
//! The load pattern it is built for is a retry storm: upstreams fail or become slow, every entry
//! retries immediately, and the retries overload the remaining upstreams. The bound holds for the
//! sum over all entries, also while they cannot reach each other: an entry earns retries by its own
//! requests and gets an equal share of the fixed allowance.

use crate::Window;
use std::time::Duration;

/// Assumed number of entries that have joined but that this entry has not discovered yet.
const UNDISCOVERED_ENTRIES: u32 = 2;
/// Fraction of the budget that is spent. The remainder allows for requests that leave the window
/// before their retries do.
const USED_FRACTION: f64 = 0.85;

/// The terms of a retry budget, summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per span in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub span: Duration,
}

/// A share of a retry budget.
#[derive(Debug)]
pub struct Budget {
    terms: Terms,
    requests: Window,
    retries: Window,
}

impl Budget {
    /// Creates a share of which nothing is spent.
    pub fn new(terms: Terms) -> Self {
        Self { terms, requests: Window::new(terms.span), retries: Window::new(terms.span) }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.record(now);
    }

    /// Spends one retry from this entry's share, given the number of entries that share the budget.
    /// Returns whether the share allowed it.
    pub fn try_take(&mut self, now: Duration, entries: u32) -> bool {
        let earned_by_requests = self.terms.ratio * self.requests.count(now) as f64;
        let slack_share = self.terms.slack / f64::from(entries.max(1) + UNDISCOVERED_ENTRIES);
        let limit = (USED_FRACTION * (earned_by_requests + slack_share)).floor() as usize;
        if self.retries.count(now) >= limit {
            return false;
        }
        self.retries.record(now);
        true
    }
}
