//! Keeps the most recent routing decisions, so that operators can look up why a request was routed
//! to an upstream.

use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// The maximum number of requests whose decisions are kept.
const CAPACITY: usize = 10_000;

/// One routing decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// The request id.
    pub request: String,
    /// The candidate upstreams and their scores; all scores are 0 if none had capacity.
    pub candidates: Vec<(String, f64)>,
    /// The chosen upstream, if any.
    pub choice: Option<String>,
    /// The reason for the decision: the first attempt, or the failure of the previous one.
    pub cause: String,
}

#[derive(Debug, Default)]
struct State {
    decisions: HashMap<String, Vec<Decision>>,
    order: VecDeque<String>,
}

/// The bounded decision log of one entry; the oldest requests are evicted first.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs and stores a decision.
    pub fn record(&self, decision: Decision) {
        let choice = decision.choice.as_deref().unwrap_or("none");
        let candidates: Vec<String> =
            decision.candidates.iter().map(|(name, score)| format!("{name}={score:.4}")).collect();
        log::info!(
            "route request={} choice={choice} cause={} candidates={}",
            decision.request,
            decision.cause,
            candidates.join(",")
        );
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let id = decision.request.clone();
        if !state.decisions.contains_key(&id) {
            state.order.push_back(id.clone());
        }
        state.decisions.entry(id).or_default().push(decision);
        if state.order.len() > CAPACITY
            && let Some(oldest) = state.order.pop_front()
        {
            state.decisions.remove(&oldest);
        }
    }

    /// Returns the decisions on a request, oldest first; `None` if none are stored.
    pub fn find(&self, request: &str) -> Option<Vec<Decision>> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decisions.get(request).cloned()
    }
}
