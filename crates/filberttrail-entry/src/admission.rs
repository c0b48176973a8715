//! Admits requests according to their teams' shares of the capacity.

use filberttrail_declare::model::Preset;
use filberttrail_kernel::clock;
use filberttrail_limit::shares::{Bounds, Ticket};
use filberttrail_limit::{Decision, Shares};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

struct State {
    shares: Shares,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Limits the number of requests in flight and queues requests by team.
pub struct Gate {
    state: Mutex<State>,
    clock: clock::Shared,
}

/// An admitted request's share of the capacity; dropping it admits the next waiting request.
pub struct Permit {
    gate: Arc<Gate>,
    team: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(&self.team);
    }
}

/// A request's entry in the queue; dropping it before its admission removes it from the queue.
struct QueueEntry<'a> {
    gate: &'a Arc<Gate>,
    team: &'a str,
    ticket: Option<Ticket>,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let abandoned = {
            let mut state = self.gate.state();
            state.waiting.remove(&ticket);
            state.shares.cancel(self.team, ticket)
        };
        if !abandoned {
            // The request was admitted concurrently: release its capacity for the next one.
            self.gate.release(self.team);
        }
    }
}

impl Gate {
    /// Creates a gate with the limits of a preset.
    pub fn new(preset: &Preset, clock: clock::Shared) -> Self {
        let state = State { shares: Shares::new(bounds(preset)), waiting: HashMap::new() };
        Self { state: Mutex::new(state), clock }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits by those of another preset.
    pub fn configure(&self, preset: &Preset) {
        self.state().shares.configure(bounds(preset));
    }

    /// Admits a request, after waiting in the queue for at most `max_wait` if necessary.
    ///
    /// Returns the suggested delay before a retry if the request is not admitted.
    pub async fn acquire(
        self: &Arc<Self>,
        team: &str,
        weight: u32,
        max_wait: Duration,
    ) -> Result<Permit, Duration> {
        let (ticket, admitted) = {
            let mut state = self.state();
            match state.shares.submit(team, weight, self.clock.now()) {
                Decision::Admit => return Ok(self.permit(team)),
                Decision::Refuse(after) => return Err(after),
                Decision::Wait(ticket) => {
                    let (admit, admitted) = oneshot::channel();
                    state.waiting.insert(ticket, admit);
                    (ticket, admitted)
                }
            }
        };
        let mut queued = QueueEntry { gate: self, team, ticket: Some(ticket) };
        match tokio::time::timeout(max_wait, admitted).await {
            Ok(Ok(())) => {
                queued.ticket = None;
                Ok(self.permit(team))
            }
            _ => Err(max_wait),
        }
    }

    fn permit(self: &Arc<Self>, team: &str) -> Permit {
        Permit { gate: self.clone(), team: team.to_string() }
    }

    fn release(&self, team: &str) {
        let mut state = self.state();
        let now = self.clock.now();
        for ticket in state.shares.release(team, now) {
            // A request that has timed out releases its capacity when its `QueueEntry` is dropped.
            if let Some(admit) = state.waiting.remove(&ticket) {
                let _ = admit.send(());
            }
        }
    }

    /// Returns the numbers of requests in flight and waiting.
    pub fn usage(&self) -> (u32, u32) {
        self.state().shares.usage()
    }
}

fn bounds(preset: &Preset) -> Bounds {
    Bounds { capacity: preset.in_flight, queue: preset.queue, wait: preset.queue_wait() }
}
