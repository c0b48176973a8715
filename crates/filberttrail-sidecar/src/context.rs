//! State that all connections and tasks of a sidecar share.

use crate::buffer::Buffer;
use crate::claims::Claims;
use crate::metrics::Metrics;
use crate::settings::Settings;
use filberttrail_declare::View;
use filberttrail_fleet::blame::Crash;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_kernel::id::{Attempt, Fence, Incarnation, MapVersion};
use filberttrail_kernel::{Mechanism, clock};
use filberttrail_limit::Memory;
use filberttrail_protocol::Cause;
use filberttrail_protocol::frame::Load;
use filberttrail_relay::Blame;
use filberttrail_state::barrier::Staging;
use filberttrail_state::ledger::{Verdict, Withdrawal};
use filberttrail_state::{Cap, Ledger};
use filberttrail_web::Client;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Concurrency limit of the upstream until the configuration is known.
const COLD_LIMIT: u32 = 1;

/// Parts of the memory of the machine, in percent. The rest is for the process itself, for the buffers
/// of connections, and for copies of what is being sent.
const OFFERS_PERCENT: usize = 25;
const RESPONSES_PERCENT: usize = 20;
const MESSAGES_PERCENT: usize = 10;

/// The shared state of a sidecar and its upstream.
pub struct Context {
    /// The settings that the sidecar was started with.
    pub settings: Settings,
    /// The incarnation of this sidecar process.
    pub incarnation: Incarnation,
    /// The clock of the sidecar, which starts at zero.
    pub clock: clock::Shared,
    /// The configuration in force, or `None` until the first one is received.
    pub view: watch::Receiver<Option<Arc<View>>>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// The HTTP client for the upstream.
    pub client: Client,
    /// The metrics of the sidecar.
    pub metrics: Metrics,
    /// What is blamed for crashes of upstreams.
    pub blame: Arc<Blame>,
    /// Memory for the requests of attempts that have not ended.
    pub offers: Memory,
    /// Memory for responses that no entry has acknowledged.
    pub responses: Memory,
    /// Memory for messages that are being received.
    pub messages: Memory,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    cap: Cap,
    executions: HashMap<Attempt, Execution>,
    staging: Staging,
    draining: bool,
    /// Number of times that the upstream is known to have ended since the sidecar started.
    ends: u64,
}

/// The execution of one attempt: its response and the handle to abort it.
pub struct Execution {
    /// The response received so far.
    pub buffer: Arc<Buffer>,
    /// Aborts the task; present only if the request is repeatable.
    pub abort: Option<AbortHandle>,
}

impl Context {
    /// Creates the state of a sidecar that has not accepted any attempts.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        clock: clock::Shared,
        view: watch::Receiver<Option<Arc<View>>>,
        claims: Claims,
        blame: Arc<Blame>,
    ) -> Self {
        let state = State {
            ledger: Ledger::new(),
            cap: Cap::new(COLD_LIMIT, COLD_LIMIT),
            executions: HashMap::new(),
            staging: Staging::new(),
            draining: false,
            ends: 0,
        };
        let metrics = Metrics::new();
        let client = Client::new().with_kept(|status| status.is_success());
        let part = |percent| Memory::new(settings.memory_bytes / 100 * percent);
        Self {
            offers: part(OFFERS_PERCENT),
            responses: part(RESPONSES_PERCENT),
            messages: part(MESSAGES_PERCENT),
            settings,
            incarnation,
            clock,
            view,
            claims,
            client,
            metrics,
            blame,
            state: Mutex::new(state),
        }
    }

    /// Returns the time since the sidecar's clock was started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an entry's connection. Offers over earlier connections of the same entry are refused
    /// from now on.
    pub fn register_connection(&self, owner: Incarnation, connection: u64) {
        self.state().ledger.register_connection(owner, connection);
    }

    /// Decides on an offer. Returns `true` if the attempt is accepted and must be run, `false` if
    /// it is a duplicate, and the cause if it is refused. `blamed` is the cause if what is known of
    /// crashes forbids to run the request.
    pub fn offer(
        &self,
        attempt: Attempt,
        connection: u64,
        buffer: Arc<Buffer>,
        blamed: Option<Cause>,
    ) -> Result<bool, Cause> {
        let now = self.now();
        let mut state = self.state();
        match state.ledger.offer(attempt, connection, now) {
            Verdict::Accepted => {}
            Verdict::Duplicate if !self.settings.disabled.is_enabled(Mechanism::Ledger) => {}
            Verdict::Duplicate => return Ok(false),
            Verdict::Withdrawn => return Err(Cause::Withdrawn),
            Verdict::Superseded => return Err(Cause::Superseded),
            Verdict::Full => return Err(Cause::Full),
        }
        let refused = if state.draining {
            Some(Cause::Draining)
        } else if self.is_out() {
            Some(Cause::Out)
        } else if blamed.is_some() {
            blamed
        } else if self.settings.disabled.is_enabled(Mechanism::Cap) && !state.cap.admit(now) {
            Some(Cause::Full)
        } else {
            None
        };
        if let Some(cause) = refused {
            state.ledger.mark_not_run(attempt, now);
            return Err(cause);
        }
        state.executions.insert(attempt, Execution { buffer, abort: None });
        Ok(true)
    }

    /// Returns whether an attempt may be handed over, and records that it is. Must be the last
    /// check before the request is sent to the upstream.
    pub fn hand_over(&self, attempt: Attempt) -> bool {
        let now = self.now();
        self.state().ledger.hand_over(attempt, now)
    }

    /// Stores the handle that aborts an attempt when its caller disconnects.
    pub fn set_abort_handle(&self, attempt: Attempt, abort: AbortHandle) {
        if let Some(execution) = self.state().executions.get_mut(&attempt) {
            execution.abort = Some(abort);
        }
    }

    /// Aborts an attempt if it has an abort handle. The response of another one is discarded.
    pub fn cancel(&self, attempt: Attempt) {
        let now = self.now();
        let mut state = self.state();
        let abort = state.executions.get(&attempt).and_then(|execution| execution.abort.clone());
        let Some(abort) = abort else {
            let execution = state.executions.get(&attempt);
            execution.inspect(|execution| execution.buffer.discard());
            if !state.ledger.is_open(attempt) {
                state.executions.remove(&attempt);
            }
            return;
        };
        abort.abort();
        state.executions.remove(&attempt);
        if state.ledger.is_open(attempt) {
            state.ledger.finish(attempt, now);
            state.cap.cancel();
        }
    }

    /// Withdraws an attempt if it was not handed over yet. Returns its state and, if it was
    /// accepted and is not acknowledged yet, its response.
    pub fn withdraw(&self, attempt: Attempt) -> (Withdrawal, Option<Arc<Buffer>>) {
        let now = self.now();
        let mut state = self.state();
        let was_open = state.ledger.is_open(attempt);
        let withdrawal = state.ledger.withdraw(attempt, now);
        if was_open && withdrawal == Withdrawal::NotRun {
            state.cap.cancel();
        }
        (withdrawal, state.executions.get(&attempt).map(|execution| execution.buffer.clone()))
    }

    /// Returns the response of an attempt, complete or not.
    pub fn response_buffer(&self, attempt: Attempt) -> Option<Arc<Buffer>> {
        self.state().executions.get(&attempt).map(|execution| execution.buffer.clone())
    }

    /// Discards a response that the entry has received completely.
    pub fn acknowledge(&self, attempt: Attempt) {
        self.state().executions.remove(&attempt);
    }

    /// Records that an attempt was certainly not run. Has no effect if it has already ended.
    pub fn mark_not_run(&self, attempt: Attempt) {
        let now = self.now();
        let mut state = self.state();
        if state.ledger.is_open(attempt) {
            state.ledger.mark_not_run(attempt, now);
            state.cap.cancel();
        }
    }

    /// Records that a handed-over attempt has ended; `complete` says whether with a complete
    /// response that was no server error. Has no effect if it has already ended.
    pub fn finish(&self, attempt: Attempt, complete: bool) {
        let now = self.now();
        let mut state = self.state();
        if state.ledger.is_open(attempt) {
            state.ledger.finish(attempt, now);
            state.cap.finish(complete, now);
        }
    }

    /// Records a token that was received `gap` after the previous one in the same stream.
    pub fn record_token(&self, gap: Duration) {
        let now = self.now();
        self.state().cap.record_token(gap, now);
    }

    /// Records the engine's incarnation. Another one than before shows that the engine has ended.
    pub fn observe_engine(&self, engine_incarnation: Incarnation) {
        let life = self.current_life();
        let mut state = self.state();
        let before = state.cap.incarnation();
        state.cap.observe_incarnation(engine_incarnation);
        let ended = before.is_some() && before != state.cap.incarnation();
        drop(state);
        if ended {
            self.end_life(life);
        }
    }

    /// Returns what the upstream's next end is known as.
    pub fn current_life(&self) -> Crash {
        let upstream = stable_hash(self.settings.name.as_bytes()) as u32;
        Crash { upstream, incarnation: self.state().ends }
    }

    /// Records that the upstream has ended, once for each of its ends.
    pub fn end_life(&self, life: Crash) {
        {
            let mut state = self.state();
            state.ends = state.ends.max(life.incarnation + 1);
        }
        self.blame.record_end(life);
    }

    /// Returns the names of the upstreams in service that run the same model or service as this one,
    /// or `None` if the configuration is not known.
    pub fn serving_names(&self) -> Option<Vec<String>> {
        let view = self.view.borrow();
        let view = view.as_ref()?;
        let peers = view.peers_of(view.upstream(&self.settings.name)?);
        Some(peers.into_iter().map(|peer| peer.name.clone()).collect())
    }

    /// Returns the engine's incarnation, or `None` if it is unknown or the upstream is a service.
    pub fn engine_incarnation(&self) -> Option<Incarnation> {
        self.state().cap.incarnation()
    }

    /// Applies the concurrency limits from the configuration.
    pub fn configure(&self, view: &View) {
        if let Some(upstream) = view.upstream(&self.settings.name) {
            self.state().cap.configure(upstream.cold_limit, upstream.warm_limit);
        }
    }

    /// Stages a map version and returns whether it is kept. A version with a lower fence than the
    /// highest known one is rejected.
    pub fn stage(&self, version: MapVersion) -> bool {
        self.state().staging.stage(version)
    }

    /// Returns whether a map version may be activated: it is staged, and no higher fence than its
    /// own is known.
    pub fn may_activate(&self, version: MapVersion) -> bool {
        self.state().staging.may_activate(version)
    }

    /// Rejects orders with a lower fence from now on.
    pub fn raise_fence(&self, fence: Fence) {
        self.state().staging.raise_fence(fence);
    }

    /// Refuses new attempts from now on.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Returns the number of accepted attempts that have not ended.
    pub fn open_attempts(&self) -> usize {
        self.state().ledger.open_count()
    }

    /// Returns the number of responses that no entry has acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.state().executions.len()
    }

    /// Removes attempts that ended long ago, with their responses.
    pub fn sweep(&self) {
        let now = self.now();
        let mut state = self.state();
        for attempt in state.ledger.sweep(now) {
            state.executions.remove(&attempt);
        }
    }

    /// Returns whether operators have taken the upstream out of service.
    pub fn is_out(&self) -> bool {
        if !self.settings.disabled.is_enabled(Mechanism::Outs) {
            return false;
        }
        let view = self.view.borrow();
        let Some(view) = view.as_ref() else {
            return false;
        };
        view.upstream(&self.settings.name).is_none_or(|upstream| view.is_out(upstream))
    }

    /// Returns the generation of the configuration in force, or 0 if none is known.
    pub fn generation(&self) -> u64 {
        self.view.borrow().as_ref().map_or(0, |view| view.manifest.generation)
    }

    /// Returns the load to publish to entries; `seen` is 0 and is set for each connection.
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
