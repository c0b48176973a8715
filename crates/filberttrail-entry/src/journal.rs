//! The last decisions, so that operators can ask why a request went where it did.

use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Requests remembered.
const CAPACITY: usize = 10_000;

/// One routing decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// The request's id.
    pub request: String,
    /// The candidates, with their scores.
    pub candidates: Vec<(String, f64)>,
    /// The chosen one, if any.
    pub choice: Option<String>,
    /// Why the decision was due: a first try, or what became of the try before.
    pub cause: String,
}

#[derive(Debug, Default)]
struct State {
    decisions: HashMap<String, Vec<Decision>>,
    order: VecDeque<String>,
}

/// The journal of one entry.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

impl Journal {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs and remembers a decision.
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

    /// Returns the decisions on a request.
    pub fn find(&self, request: &str) -> Option<Vec<Decision>> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decisions.get(request).cloned()
    }
}
