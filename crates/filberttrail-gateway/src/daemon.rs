//! Puts the gateway's parts together.

use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::{Hub, Interface, Settings, call, follow};
use filberttrail_journal::journal::Priority;
use filberttrail_journal::{Journal, reload};
use filberttrail_kernel::{Error, Result, clock};
use filberttrail_store::Objects;
use filberttrail_web::server::{self, Limits};
use filberttrail_web::{Body, Request, Response};
use hyper::StatusCode;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// How long a leaving gateway still takes connections: it is asked whether it is ready once a
/// second, and sent none after two misses.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_600);
/// What passing a streamed event on may take; 95 in 100 are to keep it.
const RELAY_TARGET: Duration = Duration::from_millis(3);
/// What is kept of the grace for the process's own end.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// How long the ends of cut requests are waited for.
const CUT_WAIT: Duration = Duration::from_millis(20);
/// How long a caller's connection may be idle, or take to send a head. Callers use connections
/// again that were idle for up to 12 s.
const HEADER_WAIT: Duration = Duration::from_secs(15);
/// Headers of a request.
const HEADERS: usize = 64;

/// A gateway.
pub struct Gateway {
    hub: Arc<Hub>,
    metrics: Option<SocketAddr>,
}

impl Gateway {
    /// Makes a gateway; `metrics` is where its metrics are served.
    pub fn new(
        settings: Settings,
        interface: Interface,
        metrics: Option<SocketAddr>,
    ) -> Result<Self> {
        let clock = clock::Boot::shared();
        let journal = Journal::new(settings.name.clone(), clock.clone());
        let counters = Metrics::new()
            .map_err(|fault| Error::system("metrics", fault, "report this as a fault"))?;
        Ok(Self { hub: Hub::new(settings, interface, clock, journal, counters), metrics })
    }

    /// Returns what its parts share.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Runs until told to stop, and then until every open request has ended or the grace is over.
    ///
    /// Each message of `reloads` has it read its settings again through `reread`.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        reloads: mpsc::Receiver<()>,
        reread: impl Fn() -> Result<Settings> + Send + 'static,
    ) -> Result<()> {
        let Self { hub, metrics } = self;
        let writing = tokio::spawn(hub.journal.clone().run());
        let listener = server::bind(hub.settings.listen).await?;
        let ready = server::bind(hub.settings.ready).await?;
        let socket = UdpSocket::bind(hub.settings.peers).await.map_err(|fault| {
            let help = "free the address, or choose other internal ports";
            Error::system(format!("address {}", hub.settings.peers), fault, help)
        })?;
        hub.journal.record(
            Priority::Important,
            "start",
            json!({
                "listen": hub.settings.listen.to_string(),
                "store": hub.settings.store.to_string(),
                "data_centre": hub.settings.data_centre,
            }),
        );
        spawn_followers(&hub, Arc::new(socket));
        let held = hub.settings.clone();
        tokio::spawn(reload::run(hub.journal.clone(), held, reloads, reread));
        let (_close_ready, ready_stop) = watch::channel(false);
        let for_ready = hub.clone();
        tokio::spawn(server::serve(ready, Limits::default(), ready_stop.clone(), move |request| {
            let response = readiness(&for_ready, &request);
            async move { response }
        }));
        let between = server::bind(hub.settings.peers).await?;
        let for_entries = hub.clone();
        tokio::spawn(server::serve(between, Limits::default(), ready_stop.clone(), move |_| {
            let response = peers::tell_all(&for_entries);
            async move { response }
        }));
        if let Some(address) = metrics {
            let listener = server::bind(address).await?;
            let for_metrics = hub.clone();
            tokio::spawn(server::serve(listener, Limits::default(), ready_stop, move |_| {
                let response = render(&for_metrics);
                async move { response }
            }));
        }
        let (close, callers_stop) = watch::channel(false);
        let limits = Limits {
            connections: hub.settings.connections,
            headers: HEADERS,
            header_wait: HEADER_WAIT,
            ..Limits::default()
        };
        let for_callers = hub.clone();
        let mut serving =
            tokio::spawn(server::serve(listener, limits, callers_stop, move |request| {
                call::handle(for_callers.clone(), request)
            }));
        server::wait_until_stopped(&mut stop).await;
        hub.leave();
        let (events, within) = hub.metrics.relayed_within(RELAY_TARGET);
        let fields = json!({ "events": events, "events_in_3_ms": within });
        hub.journal.record(Priority::Important, "stopping", fields);
        tokio::time::sleep(LEAVE_NOTICE.min(hub.settings.grace / 3)).await;
        drop(close);
        let left = hub.settings.grace.saturating_sub(LEAVE_NOTICE + GRACE_MARGIN);
        let ended = tokio::time::timeout(left, &mut serving).await.is_ok();
        if !ended {
            hub.stop();
            serving.abort();
            let _ = serving.await;
            // The connections' tasks are dropped with it, which notes what they cut.
            tokio::time::sleep(CUT_WAIT).await;
        }
        hub.journal.record(Priority::Important, "stop", json!({ "all_ended": ended }));
        hub.journal.flush();
        writing.abort();
        Ok(())
    }
}

fn spawn_followers(hub: &Arc<Hub>, socket: Arc<UdpSocket>) {
    let objects = Objects::new(hub.settings.store, hub.interface.dialect);
    let peers = Arc::new(Peers::default());
    let wakes = &peers.wakes;
    let (upstreams, configuration) = (wakes.upstreams.clone(), wakes.configuration.clone());
    tokio::spawn(follow::run_upstreams(hub.clone(), objects.clone(), upstreams));
    tokio::spawn(follow::run_configuration(hub.clone(), objects.clone(), configuration));
    tokio::spawn(follow::run_outs(hub.clone(), objects.clone(), wakes.outs.clone()));
    tokio::spawn(follow::run_paces(hub.clone(), objects.clone()));
    tokio::spawn(hub.clone().run_dispatch());
    tokio::spawn(peers.clone().run_follow(hub.clone(), objects));
    tokio::spawn(peers.clone().run_tell(hub.clone(), socket.clone()));
    tokio::spawn(peers.run_hear(hub.clone(), socket));
}

fn readiness(hub: &Hub, request: &Request) -> Response {
    let known = request.uri().path() == hub.settings.readiness_path;
    let status = match (known, hub.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn render(hub: &Hub) -> Response {
    match hub.metrics.render() {
        Ok(text) => Response::new(Body::new(text)),
        Err(fault) => {
            log::error!("cannot write metrics: {fault}");
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
