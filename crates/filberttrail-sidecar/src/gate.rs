//! What all connections of a sidecar share.

use crate::claims::Claims;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tape::Tape;
use filberttrail_declare::View;
use filberttrail_kernel::id::{Attempt, Fence, Incarnation, MapVersion};
use filberttrail_kernel::{Mechanism, clock};
use filberttrail_protocol::Cause;
use filberttrail_protocol::frame::Load;
use filberttrail_state::barrier::Staging;
use filberttrail_state::ledger::{Verdict, Withdrawal};
use filberttrail_state::{Cap, Ledger};
use filberttrail_web::Client;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The limits before the configuration is known.
const COLD_LIMIT: u32 = 1;

/// The gate to one upstream.
pub struct Gate {
    /// How the sidecar is set up.
    pub settings: Settings,
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// The time.
    pub clock: clock::Shared,
    /// The configuration in force.
    pub view: watch::Receiver<Option<Arc<View>>>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// The upstream's connections.
    pub client: Client,
    /// What is measured.
    pub metrics: Metrics,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    cap: Cap,
    answers: HashMap<Attempt, Answer>,
    staging: Staging,
    draining: bool,
}

/// An attempt's answer, and how to stop it.
pub struct Answer {
    /// The answer so far.
    pub tape: Arc<Tape>,
    /// The task, if stopping it harms nothing.
    pub stop: Option<AbortHandle>,
}

impl Gate {
    /// Makes a gate that has seen nothing.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        clock: clock::Shared,
        view: watch::Receiver<Option<Arc<View>>>,
        claims: Claims,
    ) -> Self {
        let state = State {
            ledger: Ledger::new(),
            cap: Cap::new(COLD_LIMIT, COLD_LIMIT),
            answers: HashMap::new(),
            staging: Staging::new(),
            draining: false,
        };
        let metrics = Metrics::new();
        let client = Client::new();
        let state = Mutex::new(state);
        Self { settings, incarnation, clock, view, claims, client, metrics, state }
    }

    /// Returns the time on the gate's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an entry's connection.
    pub fn connect(&self, owner: Incarnation, connection: u64) {
        self.state().ledger.register_connection(owner, connection);
    }

    /// Decides on an offer, and keeps its answer if it is accepted.
    pub fn offer(&self, attempt: Attempt, connection: u64, tape: Arc<Tape>) -> Result<bool, Cause> {
        let now = self.now();
        let mut state = self.state();
        match state.ledger.offer(attempt, connection, now) {
            Verdict::Accepted => {}
            Verdict::Duplicate if !self.settings.without.has(Mechanism::Ledger) => {}
            Verdict::Duplicate => return Ok(false),
            Verdict::Withdrawn => return Err(Cause::Withdrawn),
            Verdict::Superseded => return Err(Cause::Superseded),
            Verdict::Full => return Err(Cause::Full),
        }
        let refused = if state.draining {
            Some(Cause::Draining)
        } else if self.is_out() {
            Some(Cause::Out)
        } else if self.settings.without.has(Mechanism::Cap) && !state.cap.admit(now) {
            Some(Cause::Full)
        } else {
            None
        };
        if let Some(cause) = refused {
            state.ledger.mark_not_run(attempt, now);
            return Err(cause);
        }
        state.answers.insert(attempt, Answer { tape, stop: None });
        Ok(true)
    }

    /// Decides, as the last thing before handing over, whether an attempt may be handed over.
    pub fn hand_over(&self, attempt: Attempt) -> bool {
        let now = self.now();
        self.state().ledger.hand_over(attempt, now)
    }

    /// Lets a caller that has gone stop a task that may be stopped.
    pub fn allow_stop(&self, attempt: Attempt, stop: AbortHandle) {
        if let Some(answer) = self.state().answers.get_mut(&attempt) {
            answer.stop = Some(stop);
        }
    }

    /// Stops an attempt, if that harms nothing.
    pub fn cancel(&self, attempt: Attempt) {
        let now = self.now();
        let mut state = self.state();
        let stop = state.answers.get(&attempt).and_then(|answer| answer.stop.clone());
        let Some(stop) = stop else { return };
        stop.abort();
        state.answers.remove(&attempt);
        if state.ledger.is_open(attempt) {
            state.ledger.finish(attempt, now);
            state.cap.cancel();
        }
    }

    /// Settles an attempt, and returns its answer if it was handed over.
    pub fn withdraw(&self, attempt: Attempt) -> (Withdrawal, Option<Arc<Tape>>) {
        let now = self.now();
        let mut state = self.state();
        let was_open = state.ledger.is_open(attempt);
        let settled = state.ledger.withdraw(attempt, now);
        if was_open && settled == Withdrawal::NotRun {
            state.cap.cancel();
        }
        (settled, state.answers.get(&attempt).map(|answer| answer.tape.clone()))
    }

    /// Returns an attempt's answer, whatever it is at.
    pub fn answer(&self, attempt: Attempt) -> Option<Arc<Tape>> {
        self.state().answers.get(&attempt).map(|answer| answer.tape.clone())
    }

    /// Forgets an answer that has arrived whole.
    pub fn acknowledge(&self, attempt: Attempt) {
        self.state().answers.remove(&attempt);
    }

    /// Notes that an attempt was proved not handed over; one that has ended stays ended.
    pub fn mark_not_run(&self, attempt: Attempt) {
        let now = self.now();
        let mut state = self.state();
        if state.ledger.is_open(attempt) {
            state.ledger.mark_not_run(attempt, now);
            state.cap.cancel();
        }
    }

    /// Notes that a handed-over attempt ended; one that has ended stays ended.
    pub fn finish(&self, attempt: Attempt, whole: bool) {
        let now = self.now();
        let mut state = self.state();
        if state.ledger.is_open(attempt) {
            state.ledger.finish(attempt, now);
            state.cap.finish(whole, now);
        }
    }

    /// Notes a token.
    pub fn token(&self, gap: Duration) {
        let now = self.now();
        self.state().cap.record_token(gap, now);
    }

    /// Notes the engine's life.
    pub fn observe(&self, engine: Incarnation) {
        self.state().cap.observe_incarnation(engine);
    }

    /// Returns the engine's life, once known; a service has none.
    pub fn engine(&self) -> Option<Incarnation> {
        self.state().cap.incarnation()
    }

    /// Takes over limits from the configuration.
    pub fn configure(&self, view: &View) {
        if let Some(upstream) = view.upstream(&self.settings.name) {
            self.state().cap.configure(upstream.cold_limit, upstream.warm_limit);
        }
    }

    /// Decides whether a map may be staged, by the fence that its version carries.
    pub fn stage(&self, version: MapVersion) -> bool {
        self.state().staging.stage(version)
    }

    /// Decides whether a map may be activated: it must be staged, and its holder the latest.
    pub fn may_activate(&self, version: MapVersion) -> bool {
        self.state().staging.may_activate(version)
    }

    /// Refuses orders with a lower fence from now on.
    pub fn raise_fence(&self, fence: Fence) {
        self.state().staging.raise_fence(fence);
    }

    /// Takes no new attempts from now on.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Counts the attempts that have not ended.
    pub fn open(&self) -> usize {
        self.state().ledger.open_count()
    }

    /// Counts the answers that no entry has acknowledged.
    pub fn unread(&self) -> usize {
        self.state().answers.len()
    }

    /// Forgets what ended long ago.
    pub fn sweep(&self) {
        let now = self.now();
        let mut state = self.state();
        for attempt in state.ledger.sweep(now) {
            state.answers.remove(&attempt);
        }
    }

    /// Tells whether operators have taken the upstream out.
    pub fn is_out(&self) -> bool {
        if !self.settings.without.has(Mechanism::Outs) {
            return false;
        }
        let view = self.view.borrow();
        let Some(view) = view.as_ref() else {
            return false;
        };
        view.upstream(&self.settings.name).is_none_or(|upstream| view.is_out(upstream))
    }

    /// Returns the generation applied.
    pub fn generation(&self) -> u64 {
        self.view.borrow().as_ref().map_or(0, |view| view.manifest.generation)
    }

    /// Returns the load to tell entries.
    pub fn load(&self) -> Load {
        let out = self.is_out();
        let generation = self.generation();
        let state = self.state();
        Load {
            in_flight: state.cap.in_flight(),
            limit: state.cap.limit(),
            step_us: state.cap.smoothed_gap().as_micros() as u64,
            generation,
            ready: generation > 0 && !out && !state.draining,
            seen: 0,
        }
    }
}
