//! Lets requests in by the shares of their teams.

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

/// The gate in front of an entry's requests.
pub struct Gate {
    state: Mutex<State>,
    clock: clock::Shared,
}

/// A request's place; dropping it lets the next one in.
pub struct Permit {
    gate: Arc<Gate>,
    team: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.leave(&self.team);
    }
}

/// A place in the queue; dropping it before it is called gives it up.
struct Place<'a> {
    gate: &'a Arc<Gate>,
    team: &'a str,
    ticket: Option<Ticket>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let abandoned = {
            let mut state = self.gate.state();
            state.waiting.remove(&ticket);
            state.shares.cancel(self.team, ticket)
        };
        if !abandoned {
            // It was called at the same moment: the place goes to the next one.
            self.gate.leave(self.team);
        }
    }
}

impl Gate {
    /// Makes a gate with the bounds of a preset.
    pub fn new(preset: &Preset, clock: clock::Shared) -> Self {
        let state = State { shares: Shares::new(bounds(preset)), waiting: HashMap::new() };
        Self { state: Mutex::new(state), clock }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the bounds of another preset.
    pub fn configure(&self, preset: &Preset) {
        self.state().shares.configure(bounds(preset));
    }

    /// Lets a request in, now or after a while; an error says when to come back.
    pub async fn enter(
        self: &Arc<Self>,
        team: &str,
        weight: u32,
        longest: Duration,
    ) -> Result<Permit, Duration> {
        let (ticket, called) = {
            let mut state = self.state();
            match state.shares.submit(team, weight, self.clock.now()) {
                Decision::Admit => return Ok(self.permit(team)),
                Decision::Refuse(after) => return Err(after),
                Decision::Wait(ticket) => {
                    let (call, called) = oneshot::channel();
                    state.waiting.insert(ticket, call);
                    (ticket, called)
                }
            }
        };
        let mut place = Place { gate: self, team, ticket: Some(ticket) };
        match tokio::time::timeout(longest, called).await {
            Ok(Ok(())) => {
                place.ticket = None;
                Ok(self.permit(team))
            }
            _ => Err(longest),
        }
    }

    fn permit(self: &Arc<Self>, team: &str) -> Permit {
        Permit { gate: self.clone(), team: team.to_string() }
    }

    fn leave(&self, team: &str) {
        let mut state = self.state();
        let now = self.clock.now();
        for ticket in state.shares.release(team, now) {
            // One that has stopped waiting gives its place on when its own guard drops.
            if let Some(call) = state.waiting.remove(&ticket) {
                let _ = call.send(());
            }
        }
    }

    /// Returns the requests in flight and waiting.
    pub fn usage(&self) -> (u32, u32) {
        self.state().shares.usage()
    }
}

fn bounds(preset: &Preset) -> Bounds {
    Bounds { capacity: preset.in_flight, queue: preset.queue, wait: preset.queue_wait() }
}
