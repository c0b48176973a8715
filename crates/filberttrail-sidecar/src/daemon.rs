//! Puts the sidecar's parts together.

use crate::claims::Claims;
use crate::gate::Gate;
use crate::settings::Settings;
use crate::{admin, connection, duty};
use filberttrail_kernel::Result;
use filberttrail_kernel::clock;
use filberttrail_protocol::link::Identity;
use filberttrail_relay::replicator::Source;
use filberttrail_relay::{Replicator, Threads};
use filberttrail_store::Platform;
use filberttrail_web::Body;
use filberttrail_web::server::{self, Limits};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How often the engine is asked for its load.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// How often the ledger is swept.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);
/// How long a shutdown waits for entries to acknowledge what they have read.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_secs(2);

/// A sidecar whose addresses are bound.
pub struct Sidecar {
    settings: Settings,
    threads: Threads,
    listener: TcpListener,
    admin: TcpListener,
}

impl Sidecar {
    /// Checks the settings and binds the addresses.
    pub async fn bind(settings: Settings, threads: Threads) -> Result<Self> {
        settings.check()?;
        let listener = server::bind(settings.listen).await?;
        let admin = server::bind(settings.admin).await?;
        Ok(Self { settings, threads, listener, admin })
    }

    /// Builds a sidecar on listeners that are bound already.
    pub fn new(
        settings: Settings,
        threads: Threads,
        listener: TcpListener,
        admin: TcpListener,
    ) -> Self {
        Self { settings, threads, listener, admin }
    }

    /// Returns the address that operators use.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.local_addr().ok()
    }

    /// Runs until told to stop, and then until every accepted attempt has ended.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Self { settings, threads, listener, admin } = self;
        let incarnation = fastrand::u64(..);
        let platform = Arc::new(Platform::new(settings.platform));
        let claims = Claims::new(platform.clone(), threads.control.clone());
        let (replicator, view) = {
            let _control = threads.control.enter();
            Replicator::start(
                settings.name.clone(),
                Some(platform.clone()),
                Source::Poll,
                &settings.without,
            )
        };
        let drain_wait = settings.drain_wait;
        let me =
            Identity { name: settings.name.clone(), incarnation, secret: settings.secret.clone() };
        let clock = clock::System::shared();
        let gate = Arc::new(Gate::new(settings, incarnation, clock, view, claims));
        let tasks = [
            threads.control.spawn(follow_limits(gate.clone())),
            threads.control.spawn(watch_engine(gate.clone())),
            threads.control.spawn(sweep(gate.clone())),
            threads.control.spawn(duty::run(gate.clone(), platform, me.clone())),
        ];
        let accepting =
            threads.traffic.spawn(connection::accept(gate.clone(), me, replicator, listener));
        let (close_admin, admin_stop) = watch::channel(false);
        let for_admin = gate.clone();
        let serving = server::serve(admin, Limits::default(), admin_stop, move |request| {
            admin::answer(for_admin.clone(), request)
        });
        let serving = threads.control.spawn(serving);
        server::stopped(&mut stop).await;
        gate.drain();
        drain(&gate, drain_wait).await;
        accepting.abort();
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        drop(close_admin);
        let _ = tokio::time::timeout(ACKNOWLEDGE_WAIT, serving).await;
    }
}

async fn drain(gate: &Gate, wait: Duration) {
    let began = gate.now();
    let mut ended = None;
    loop {
        let now = gate.now();
        if gate.open() > 0 {
            ended = None;
        } else if gate.unread() == 0 || now - *ended.get_or_insert(now) > ACKNOWLEDGE_WAIT {
            return;
        }
        if now - began > wait {
            log::warn!("shutdown cuts off {} attempts after {wait:?}", gate.open());
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn follow_limits(gate: Arc<Gate>) {
    let mut view = gate.view.clone();
    while view.changed().await.is_ok() {
        let view = view.borrow_and_update().clone();
        if let Some(view) = view {
            gate.configure(&view);
        }
    }
}

async fn sweep(gate: Arc<Gate>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        gate.sweep();
    }
}

/// Asks an engine for its life; services have none and are asked no more.
async fn watch_engine(gate: Arc<Gate>) {
    loop {
        let request = hyper::Request::get("/load").header("host", "engine").body(Body::empty());
        let Ok(request) = request else { return };
        let answer = gate.client.fetch(gate.settings.upstream, request, LOAD_PERIOD, 65_536).await;
        match answer {
            Ok(answer) if answer.status() == hyper::StatusCode::NOT_FOUND => return,
            Ok(answer) => {
                let report = serde_json::from_slice::<serde_json::Value>(answer.body());
                let engine = report.ok().and_then(|report| report["incarnation"].as_u64());
                if let Some(engine) = engine {
                    gate.observe(engine);
                }
            }
            Err(fault) => log::debug!("{} gives no load: {fault}", gate.settings.name),
        }
        tokio::time::sleep(LOAD_PERIOD).await;
    }
}
