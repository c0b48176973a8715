//! The state that all requests of an entry share.

use crate::admission::Gate;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;
use fastrand::Rng;
use filberttrail_declare::View;
use filberttrail_kernel::clock;
use filberttrail_kernel::id::Incarnation;
use filberttrail_limit::{Budget, Memory};
use filberttrail_relay::Blame;
use filberttrail_route::{Index, Policy};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The part of the memory of the machine for request bodies, in percent.
const BODIES_PERCENT: usize = 30;

/// The shared state of one entry.
pub struct Context {
    /// The entry's settings.
    pub settings: Settings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The clock for deadlines and durations.
    pub clock: clock::Shared,
    /// The configuration in force; `None` until the first one arrives.
    pub view: watch::Receiver<Option<Arc<View>>>,
    /// The connections to sidecars.
    pub pool: Pool,
    /// The admission gate for requests.
    pub gate: Arc<Gate>,
    /// The routing policy.
    pub policy: &'static Policy,
    /// The most recent routing decisions.
    pub journal: Journal,
    /// The entry's metrics.
    pub metrics: Metrics,
    /// What is blamed for crashes of upstreams.
    pub blame: Arc<Blame>,
    /// Memory for the request bodies of open requests.
    pub bodies: Memory,
    /// Whether the entry is shutting down; it then reports that it is not ready.
    pub leaving: AtomicBool,
    next_number: AtomicU64,
    routing: Mutex<Routing>,
}

/// The mutable state of routing decisions.
pub struct Routing {
    /// The prompt prefixes that each upstream is estimated to have cached.
    pub prefixes: Index,
    /// The retry budget.
    pub budget: Budget,
    /// The random number generator, seeded with the incarnation.
    pub random: Rng,
}

impl Context {
    /// Creates the state with an empty routing state and a retry budget of 0 percent.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        clock: clock::Shared,
        view: watch::Receiver<Option<Arc<View>>>,
        pool: Pool,
        gate: Arc<Gate>,
        policy: &'static Policy,
    ) -> Self {
        let random = Rng::with_seed(incarnation);
        let blame = Arc::new(Blame::new(clock.clone()));
        let routing = Routing { prefixes: Index::new(), budget: Budget::new(0), random };
        Self {
            bodies: Memory::new(settings.memory_bytes / 100 * BODIES_PERCENT),
            settings,
            incarnation,
            clock,
            view,
            pool,
            gate,
            policy,
            journal: Journal::new(),
            metrics: Metrics::new(),
            blame,
            leaving: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
            routing: Mutex::new(routing),
        }
    }

    /// Sets the ledger that the entry shares with its replicator.
    pub fn with_blame(mut self, blame: Arc<Blame>) -> Self {
        self.blame = blame;
        self
    }

    /// Returns the configuration in force, or `None` if none has arrived yet.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.borrow().clone()
    }

    /// Locks and returns the routing state.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number that is unique in this process, for an attempt or a request id.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the entry can serve requests.
    ///
    /// The entry can if it has a configuration, is not shutting down, its data centre is in
    /// service, and at least one upstream is reachable.
    pub fn is_ready(&self) -> bool {
        let Some(view) = self.view() else { return false };
        let out = view.manifest.operation.data_centres_out.contains(&self.settings.data_centre);
        let reachable = self.pool.all().iter().any(|upstream| upstream.load().is_some());
        !self.leaving.load(Ordering::Relaxed) && !out && reachable
    }
}
