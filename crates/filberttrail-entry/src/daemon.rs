//! Starts and stops the entry process.

use crate::admission::Gate;
use crate::context::Context;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::{admin, http};
use filberttrail_declare::model::Preset;
use filberttrail_kernel::{Mechanism, Result, clock, plugin};
use filberttrail_limit::Memory;
use filberttrail_protocol::link::Identity;
use filberttrail_relay::replicator::Source;
use filberttrail_relay::{Blame, Replicator, RuntimeHandles};
use filberttrail_store::status::Status;
use filberttrail_store::{Platform, follow, status as platform_status};
use filberttrail_web::server::{self, Limits};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The interval at which a changed status is published; jittered, so that entries do not all write
/// at the same time.
const STATUS_PERIOD: Duration = Duration::from_millis(1_000);

/// The maximum number of connections to the admin port: a few probes, scrapers and operators.
const ADMIN_CONNECTIONS: usize = 64;

/// The parts of the memory of the machine for responses that callers have not read, and for messages
/// that are being received, in percent. `context` has the part for request bodies; the rest is for the
/// process itself, for the buffers of connections, and for copies of what is being sent.
const RESPONSES_PERCENT: usize = 25;
const MESSAGES_PERCENT: usize = 10;

/// An entry whose ports are bound.
pub struct Entry {
    settings: Settings,
    runtimes: RuntimeHandles,
    listener: TcpListener,
    admin: TcpListener,
}

impl Entry {
    /// Checks the settings and binds the ports.
    pub async fn bind(settings: Settings, runtimes: RuntimeHandles) -> Result<Self> {
        settings.check()?;
        let listener = server::bind(settings.listen).await?;
        let admin = server::bind(settings.admin).await?;
        Ok(Self { settings, runtimes, listener, admin })
    }

    /// Creates an entry with listeners that are already bound; does not check the settings.
    pub fn new(
        settings: Settings,
        runtimes: RuntimeHandles,
        listener: TcpListener,
        admin: TcpListener,
    ) -> Self {
        Self { settings, runtimes, listener, admin }
    }

    /// Returns the addresses of the callers' port and of the admin port.
    pub fn addresses(&self) -> Option<(SocketAddr, SocketAddr)> {
        Some((self.listener.local_addr().ok()?, self.admin.local_addr().ok()?))
    }

    /// Runs until `stop` becomes true or closes, then waits for all open requests to finish.
    pub async fn run(self, mut stop: watch::Receiver<bool>) -> Result<()> {
        let Self { settings, runtimes, listener, admin } = self;
        let platform = Arc::new(Platform::new(settings.platform));
        let context = build_context(settings, &runtimes, platform.clone())?;
        for seed in &context.settings.seeds {
            context.pool.connect_seed(*seed);
        }
        let following_view = runtimes.control.spawn(follow_view(context.clone()));
        let publishing_status =
            runtimes.control.spawn(publish_status(context.clone(), platform.clone()));
        let (admin_close, admin_stop) = watch::channel(false);
        let admin_context = context.clone();
        let limits = Limits { connections: ADMIN_CONNECTIONS, ..Limits::default() };
        let serving = server::serve(admin, limits, admin_stop, move |request| {
            admin::handle(admin_context.clone(), platform.clone(), request)
        });
        let admin_server = runtimes.control.spawn(serving);
        let (callers_close, callers_stop) = watch::channel(false);
        let limits = context.settings.limits.clone();
        let callers_context = context.clone();
        let serving = server::serve(listener, limits, callers_stop, move |request| {
            http::handle(callers_context.clone(), request)
        });
        let callers_server = runtimes.traffic.spawn(serving);
        server::wait_until_stopped(&mut stop).await;
        context.leaving.store(true, Ordering::Relaxed);
        tokio::time::sleep(context.settings.leave_notice).await;
        drop(callers_close);
        let _ = callers_server.await;
        context.pool.close();
        following_view.abort();
        publishing_status.abort();
        drop(admin_close);
        admin_server.abort();
        Ok(())
    }
}

fn build_context(
    settings: Settings,
    runtimes: &RuntimeHandles,
    platform: Arc<Platform>,
) -> Result<Arc<Context>> {
    let policy = plugin::find(&settings.policy)?;
    let incarnation = fastrand::u64(..);
    let clock = clock::System::shared();
    let identity =
        Identity { name: settings.name.clone(), incarnation, secret: settings.secret.clone() };
    let blame = Arc::new(Blame::new(clock.clone()).with_passing_on());
    let (replicator, view) = {
        let _control = runtimes.control.enter();
        Replicator::start(
            settings.name.clone(),
            Some(platform),
            Source::Watch,
            &settings.disabled,
            blame.clone(),
        )
    };
    let subset = settings.subset;
    let ordered = settings.disabled.is_enabled(Mechanism::Assembly);
    let pool = Pool::new(identity, replicator, clock.clone(), runtimes.traffic.clone(), ordered);
    let memory = settings.memory_bytes;
    let pool = pool.with_subset(subset).with_memory(
        Memory::new(memory / 100 * RESPONSES_PERCENT),
        Memory::new(memory / 100 * MESSAGES_PERCENT),
    );
    let gate = Arc::new(Gate::new(&initial_preset(), clock.clone()));
    let context = Context::new(settings, incarnation, clock, view, pool, gate, policy);
    Ok(Arc::new(context.with_blame(blame)))
}

/// Returns the limits that apply until the first configuration arrives.
fn initial_preset() -> Preset {
    Preset {
        name: String::new(),
        in_flight: 1,
        queue: 0,
        queue_wait_ms: 0,
        retry_percent: 0,
        rebalance: false,
    }
}

/// Applies each new configuration to the gate, the retry budget and the connection pool.
async fn follow_view(context: Arc<Context>) {
    let mut view = context.view.clone();
    loop {
        let current = view.borrow_and_update().clone();
        if let Some(current) = current {
            context.gate.configure(&current.preset);
            context.routing().budget.configure(current.preset.retry_percent);
            context.pool.reconcile(&current);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the entry's status, as shown to operators and published to the platform.
pub fn status(context: &Context) -> Status {
    let upstreams = context
        .pool
        .all()
        .into_iter()
        .filter_map(|upstream| Some((upstream.name.clone(), upstream.generation()?)));
    Status {
        node: context.settings.name.clone(),
        incarnation: context.incarnation,
        data_centre: context.settings.data_centre.clone(),
        generation: context.view().map_or(0, |view| view.manifest.generation),
        upstreams: upstreams.collect(),
    }
}

async fn publish_status(context: Arc<Context>, platform: Arc<Platform>) {
    let mut published = None;
    loop {
        tokio::time::sleep(follow::jitter(STATUS_PERIOD)).await;
        let status = status(&context);
        if published.as_ref() == Some(&status) {
            continue;
        }
        match platform_status::publish(&platform, &status).await {
            Ok(()) => published = Some(status),
            Err(error) => log::debug!("cannot publish the status: {}", error.current_context()),
        }
    }
}
