//! Puts the entry's parts together.

use crate::hub::Hub;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::wait::Gate;
use crate::{admin, http};
use filberttrail_declare::model::Preset;
use filberttrail_kernel::{Mechanism, Result, clock, plugin};
use filberttrail_protocol::link::Identity;
use filberttrail_relay::replicator::Source;
use filberttrail_relay::{Replicator, Threads};
use filberttrail_store::status::Status;
use filberttrail_store::{Platform, follow, status as platform_status};
use filberttrail_web::server::{self, Limits};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How often a changed status is published; spread, so that entries do not write together.
const STATUS_PERIOD: Duration = Duration::from_millis(1_000);

/// An entry whose addresses are bound.
pub struct Entry {
    settings: Settings,
    threads: Threads,
    listener: TcpListener,
    admin: TcpListener,
}

impl Entry {
    /// Checks the settings and binds the addresses.
    pub async fn bind(settings: Settings, threads: Threads) -> Result<Self> {
        settings.check()?;
        let listener = server::bind(settings.listen).await?;
        let admin = server::bind(settings.admin).await?;
        Ok(Self { settings, threads, listener, admin })
    }

    /// Builds an entry on listeners that are bound already.
    pub fn new(
        settings: Settings,
        threads: Threads,
        listener: TcpListener,
        admin: TcpListener,
    ) -> Self {
        Self { settings, threads, listener, admin }
    }

    /// Returns the addresses of callers and operators.
    pub fn addresses(&self) -> Option<(SocketAddr, SocketAddr)> {
        Some((self.listener.local_addr().ok()?, self.admin.local_addr().ok()?))
    }

    /// Runs until told to stop, and then until every open request has ended.
    pub async fn run(self, mut stop: watch::Receiver<bool>) -> Result<()> {
        let Self { settings, threads, listener, admin } = self;
        let platform = Arc::new(Platform::new(settings.platform));
        let hub = build_hub(settings, &threads, platform.clone())?;
        for seed in &hub.settings.seeds {
            hub.pool.connect_seed(*seed);
        }
        let following = threads.control.spawn(follow_view(hub.clone()));
        let publishing = threads.control.spawn(publish_status(hub.clone(), platform.clone()));
        let (close_admin, admin_stop) = watch::channel(false);
        let for_admin = hub.clone();
        let serving = server::serve(admin, Limits::default(), admin_stop, move |request| {
            admin::answer(for_admin.clone(), platform.clone(), request)
        });
        let administering = threads.control.spawn(serving);
        let (close, callers_stop) = watch::channel(false);
        let limits = hub.settings.limits.clone();
        let for_callers = hub.clone();
        let serving = server::serve(listener, limits, callers_stop, move |request| {
            http::handle(for_callers.clone(), request)
        });
        let calling = threads.traffic.spawn(serving);
        server::stopped(&mut stop).await;
        hub.leaving.store(true, Ordering::Relaxed);
        tokio::time::sleep(hub.settings.leave_notice).await;
        drop(close);
        let _ = calling.await;
        hub.pool.close();
        following.abort();
        publishing.abort();
        drop(close_admin);
        administering.abort();
        Ok(())
    }
}

fn build_hub(settings: Settings, threads: &Threads, platform: Arc<Platform>) -> Result<Arc<Hub>> {
    let policy = plugin::find(&settings.policy)?;
    let incarnation = fastrand::u64(..);
    let clock = clock::System::shared();
    let me = Identity { name: settings.name.clone(), incarnation, secret: settings.secret.clone() };
    let (replicator, view) = {
        let _control = threads.control.enter();
        Replicator::start(settings.name.clone(), Some(platform), Source::Watch, &settings.without)
    };
    let subset = settings.subset;
    let ordered = settings.without.has(Mechanism::Assembly);
    let pool = Pool::new(me, replicator, clock.clone(), threads.traffic.clone(), ordered);
    let pool = pool.with_subset(subset);
    let gate = Arc::new(Gate::new(&closed(), clock.clone()));
    Ok(Arc::new(Hub::new(settings, incarnation, clock, view, pool, gate, policy)))
}

/// The limits before the configuration is known.
fn closed() -> Preset {
    Preset {
        name: String::new(),
        in_flight: 1,
        queue: 0,
        queue_wait_ms: 0,
        retry_percent: 0,
        rebalance: false,
    }
}

async fn follow_view(hub: Arc<Hub>) {
    let mut view = hub.view.clone();
    loop {
        let current = view.borrow_and_update().clone();
        if let Some(current) = current {
            hub.gate.configure(&current.preset);
            hub.routing().budget.configure(current.preset.retry_percent);
            hub.pool.follow(&current);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns what the entry tells operators.
pub fn status(hub: &Hub) -> Status {
    let upstreams = hub
        .pool
        .all()
        .into_iter()
        .filter_map(|upstream| Some((upstream.name.clone(), upstream.generation()?)));
    Status {
        node: hub.settings.name.clone(),
        incarnation: hub.incarnation,
        data_centre: hub.settings.data_centre.clone(),
        generation: hub.view().map_or(0, |view| view.manifest.generation),
        upstreams: upstreams.collect(),
    }
}

async fn publish_status(hub: Arc<Hub>, platform: Arc<Platform>) {
    let mut published = None;
    loop {
        tokio::time::sleep(follow::jitter(STATUS_PERIOD)).await;
        let status = status(&hub);
        if published.as_ref() == Some(&status) {
            continue;
        }
        match platform_status::publish(&platform, &status).await {
            Ok(()) => published = Some(status),
            Err(fault) => log::debug!("status not published: {}", fault.current_context()),
        }
    }
}
