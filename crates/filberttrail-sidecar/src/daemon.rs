//! Starts the tasks of a sidecar and shuts them down.

use crate::claims::Claims;
use crate::context::Context;
use crate::settings::Settings;
use crate::{admin, connection, coordinator};
use filberttrail_kernel::Result;
use filberttrail_kernel::clock;
use filberttrail_protocol::link::Identity;
use filberttrail_relay::replicator::Source;
use filberttrail_relay::{Blame, Replicator, RuntimeHandles};
use filberttrail_store::Platform;
use filberttrail_web::Body;
use filberttrail_web::server::{self, Limits};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Interval at which the engine is polled for its incarnation, and time limit for each request.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which old attempts are removed from the ledger.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);
/// How long a shutdown waits for entries to acknowledge responses after the last attempt ended, and
/// then for open requests on the admin port.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections to the admin port: a few probes, scrapers and operators.
const ADMIN_CONNECTIONS: usize = 64;

/// A sidecar whose listeners are bound, ready to run.
pub struct Sidecar {
    settings: Settings,
    runtimes: RuntimeHandles,
    listener: TcpListener,
    admin: TcpListener,
}

impl Sidecar {
    /// Checks the settings and binds the addresses.
    pub async fn bind(settings: Settings, runtimes: RuntimeHandles) -> Result<Self> {
        settings.check()?;
        let listener = server::bind(settings.listen).await?;
        let admin = server::bind(settings.admin).await?;
        Ok(Self { settings, runtimes, listener, admin })
    }

    /// Creates a sidecar from listeners that are already bound.
    pub fn new(
        settings: Settings,
        runtimes: RuntimeHandles,
        listener: TcpListener,
        admin: TcpListener,
    ) -> Self {
        Self { settings, runtimes, listener, admin }
    }

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.local_addr().ok()
    }

    /// Runs until `stop` is signalled. Then refuses new attempts and waits until the accepted ones
    /// have ended, but at most `Settings::drain_wait`.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Self { settings, runtimes, listener, admin } = self;
        let incarnation = fastrand::u64(..);
        let platform = Arc::new(Platform::new(settings.platform));
        let claims = Claims::new(platform.clone(), runtimes.control.clone());
        let clock = clock::System::shared();
        let blame = Arc::new(Blame::new(clock.clone()));
        let (replicator, view) = {
            let _control = runtimes.control.enter();
            Replicator::start(
                settings.name.clone(),
                Some(platform.clone()),
                Source::Poll,
                &settings.disabled,
                blame.clone(),
            )
        };
        let drain_wait = settings.drain_wait;
        let identity =
            Identity { name: settings.name.clone(), incarnation, secret: settings.secret.clone() };
        let context = Arc::new(Context::new(settings, incarnation, clock, view, claims, blame));
        let tasks = [
            runtimes.control.spawn(follow_limits(context.clone())),
            runtimes.control.spawn(poll_engine_incarnation(context.clone())),
            runtimes.control.spawn(sweep(context.clone())),
            runtimes.control.spawn(coordinator::run(context.clone(), platform, identity.clone())),
        ];
        let accepting = runtimes.traffic.spawn(connection::accept(
            context.clone(),
            identity,
            replicator,
            listener,
        ));
        let (close_admin, admin_stop) = watch::channel(false);
        let admin_context = context.clone();
        let limits = Limits { connections: ADMIN_CONNECTIONS, ..Limits::default() };
        let serving = server::serve(admin, limits, admin_stop, move |request| {
            admin::handle_request(admin_context.clone(), request)
        });
        let serving = runtimes.control.spawn(serving);
        server::wait_until_stopped(&mut stop).await;
        context.drain();
        wait_until_drained(&context, drain_wait).await;
        accepting.abort();
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        drop(close_admin);
        let _ = tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, serving).await;
    }
}

async fn wait_until_drained(context: &Context, timeout: Duration) {
    let started_at = context.now();
    let mut idle_since = None;
    loop {
        let now = context.now();
        if context.open_attempts() > 0 {
            idle_since = None;
        } else if context.unacknowledged() == 0
            || now - *idle_since.get_or_insert(now) > ACKNOWLEDGE_TIMEOUT
        {
            return;
        }
        if now - started_at > timeout {
            log::warn!("shutdown aborts {} attempts after {timeout:?}", context.open_attempts());
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn follow_limits(context: Arc<Context>) {
    let mut view = context.view.clone();
    while view.changed().await.is_ok() {
        let view = view.borrow_and_update().clone();
        if let Some(view) = view {
            context.configure(&view);
        }
    }
}

async fn sweep(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        context.sweep();
    }
}

/// Polls the engine for its incarnation. Services have none and respond with 404, which ends the
/// polling.
async fn poll_engine_incarnation(context: Arc<Context>) {
    loop {
        let request = hyper::Request::get("/load").header("host", "engine").body(Body::empty());
        let Ok(request) = request else { return };
        let response =
            context.client.fetch(context.settings.upstream, request, LOAD_PERIOD, 65_536).await;
        match response {
            Ok(response) if response.status() == hyper::StatusCode::NOT_FOUND => return,
            Ok(response) => {
                let report = serde_json::from_slice::<serde_json::Value>(response.body());
                let engine = report.ok().and_then(|report| report["incarnation"].as_u64());
                if let Some(engine) = engine {
                    context.observe_engine(engine);
                }
            }
            Err(error) => log::debug!("cannot read the load of {}: {error}", context.settings.name),
        }
        tokio::time::sleep(LOAD_PERIOD).await;
    }
}
