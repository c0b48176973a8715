//! Starts the tasks of a gateway and shuts them down.

use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::{Hub, Interface, Settings, call, follow, verdicts};
use filberttrail_journal::journal::Priority;
use filberttrail_journal::{Journal, reload};
use filberttrail_kernel::{Error, Result, clock};
use filberttrail_store::Objects;
use filberttrail_web::memory::Part;
use filberttrail_web::server::{self, Limits};
use filberttrail_web::{Body, Request, Response};
use hyper::StatusCode;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Time for which a draining gateway still accepts connections. Its readiness is polled once a
/// second, and it gets no new connections after two failed polls.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// Latency target for forwarding a streamed event, which 95 of 100 events have to meet.
const RELAY_TARGET: Duration = Duration::from_millis(3);
/// Part of the grace period that is reserved for the end of the process itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time allowed for logging the requests that were cut off.
const CUT_LOG_WAIT: Duration = Duration::from_millis(20);
/// Timeout for an idle caller connection and for reading a request head. Callers reuse connections
/// after up to 12 s of idle time.
const HEADER_WAIT: Duration = Duration::from_secs(15);
/// Maximum number of headers in a request.
const HEADER_LIMIT: usize = 64;
/// Maximum number of connections to the readiness endpoint, and of those to the metrics endpoint. Few
/// programs poll them.
const MONITOR_CONNECTIONS: usize = 16;
/// Minimum of the maximum number of connections from other entries. It is a quarter of that of callers'
/// connections, as hundreds of entries fetch snapshots from a relay.
const PEER_CONNECTIONS_MINIMUM: usize = 32;

/// A gateway process: an entry that forwards requests directly to upstreams.
pub struct Gateway {
    hub: Arc<Hub>,
    metrics: Option<SocketAddr>,
}

impl Gateway {
    /// Creates a gateway. Metrics are served at the address `metrics`, if there is one.
    pub fn new(
        settings: Settings,
        interface: Interface,
        metrics: Option<SocketAddr>,
    ) -> Result<Self> {
        let clock = clock::Boot::shared();
        let journal = Journal::new(settings.name.clone(), clock.clone());
        let counters = Metrics::new()
            .map_err(|error| Error::system("metrics", error, "report this as a bug"))?;
        Ok(Self { hub: Hub::new(settings, interface, clock, journal, counters), metrics })
    }

    /// Returns the shared state of the gateway's tasks.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Runs until `stop` is set, then drains until every open request has ended or the grace period
    /// is over.
    ///
    /// On each message of `reloads` the settings are read again through `reread`.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        reloads: mpsc::Receiver<()>,
        reread: impl Fn() -> Result<Settings> + Send + 'static,
    ) -> Result<()> {
        let Self { hub, metrics } = self;
        let journal_task = tokio::spawn(hub.journal.clone().run());
        let listener = server::bind(hub.settings.listen).await?;
        let ready = server::bind(hub.settings.ready).await?;
        let socket = UdpSocket::bind(hub.settings.peers).await.map_err(|error| {
            let help = "free the address, or choose other internal ports";
            Error::system(format!("address {}", hub.settings.peers), error, help)
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
        let objects = Objects::new(hub.settings.store, hub.interface.dialect);
        let peers = Peers::new(objects.clone(), hub.now(), hub.settings.apply_within);
        spawn_followers(&hub, &peers, &objects, Arc::new(socket));
        let current_settings = hub.settings.clone();
        tokio::spawn(reload::run(hub.journal.clone(), current_settings, reloads, reread));
        let (_close_internal, stop_internal) = watch::channel(false);
        let internal_limits = |connections: usize| Limits {
            connections,
            receive_bytes: server::RECEIVE_BYTES_MINIMUM,
            memory: hub.memory.clone(),
            ..Limits::default()
        };
        let hub_for_readiness = hub.clone();
        tokio::spawn(server::serve(
            ready,
            internal_limits(MONITOR_CONNECTIONS),
            stop_internal.clone(),
            move |request| {
                let response = respond_readiness(&hub_for_readiness, &request);
                async move { response }
            },
        ));
        let peer_listener = server::bind(hub.settings.peers).await?;
        let hub_for_peers = hub.clone();
        tokio::spawn(server::serve(
            peer_listener,
            internal_limits((hub.settings.connections / 4).max(PEER_CONNECTIONS_MINIMUM)),
            stop_internal.clone(),
            move |request| peers.clone().serve_snapshot(hub_for_peers.clone(), request),
        ));
        if let Some(address) = metrics {
            let listener = server::bind(address).await?;
            let hub_for_metrics = hub.clone();
            let limits = internal_limits(MONITOR_CONNECTIONS);
            tokio::spawn(server::serve(listener, limits, stop_internal, move |_| {
                let response = respond_metrics(&hub_for_metrics);
                async move { response }
            }));
        }
        let (close, stop_callers) = watch::channel(false);
        let limits = Limits {
            connections: hub.settings.connections,
            headers: HEADER_LIMIT,
            header_wait: HEADER_WAIT,
            receive_bytes: receive_bytes(&hub),
            memory: hub.memory.clone(),
            ..Limits::default()
        };
        let hub_for_callers = hub.clone();
        let mut serving =
            tokio::spawn(server::serve(listener, limits, stop_callers, move |request| {
                call::handle(hub_for_callers.clone(), request)
            }));
        server::wait_until_stopped(&mut stop).await;
        hub.start_draining();
        let (events, within) = hub.metrics.relayed_within(RELAY_TARGET);
        let fields = json!({ "events": events, "events_in_3_ms": within });
        hub.journal.record(Priority::Important, "stopping", fields);
        tokio::time::sleep(DRAIN_NOTICE.min(hub.settings.grace / 3)).await;
        drop(close);
        let grace_left = hub.settings.grace.saturating_sub(DRAIN_NOTICE + GRACE_MARGIN);
        let ended = tokio::time::timeout(grace_left, &mut serving).await.is_ok();
        if !ended {
            hub.end_grace();
            serving.abort();
            let _ = serving.await;
            // Aborting the server drops the connection tasks, which log the requests that they cut
            // off.
            tokio::time::sleep(CUT_LOG_WAIT).await;
        }
        hub.journal.record(Priority::Important, "stop", json!({ "all_ended": ended }));
        hub.journal.flush();
        journal_task.abort();
        Ok(())
    }
}

/// Returns the size of the receive buffers of callers' connections, so that the unread bytes of all
/// connections together fit into the part of the memory that is for connections, if there is enough of
/// it for the minimum.
fn receive_bytes(hub: &Hub) -> usize {
    let share = hub.memory.size(Part::Connections) / hub.settings.connections.max(1);
    share.clamp(server::RECEIVE_BYTES_MINIMUM, server::RECEIVE_BYTES)
}

fn spawn_followers(
    hub: &Arc<Hub>,
    peers: &Arc<Peers>,
    objects: &Arc<Objects>,
    socket: Arc<UdpSocket>,
) {
    let wakes = &peers.wakes;
    let (upstreams, configuration) = (wakes.upstreams.clone(), wakes.configuration.clone());
    let (outs, slowdowns) = (wakes.outs.clone(), wakes.slowdowns.clone());
    let active = || peers.watching();
    tokio::spawn(follow::run_upstreams(hub.clone(), objects.clone(), upstreams, active()));
    tokio::spawn(follow::run_configuration(hub.clone(), objects.clone(), configuration, active()));
    tokio::spawn(follow::run_outs(hub.clone(), objects.clone(), outs, active()));
    tokio::spawn(follow::run_slowdowns(hub.clone(), objects.clone(), slowdowns, active()));
    tokio::spawn(verdicts::run(hub.clone(), objects.clone()));
    tokio::spawn(hub.clone().run_dispatch());
    tokio::spawn(peers.clone().run_follow(hub.clone()));
    tokio::spawn(peers.clone().run_advertise(hub.clone(), socket.clone()));
    tokio::spawn(peers.clone().run_receive(hub.clone(), socket));
}

fn respond_readiness(hub: &Hub, request: &Request) -> Response {
    let path_matches = request.uri().path() == hub.settings.readiness_path;
    let status = match (path_matches, hub.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn respond_metrics(hub: &Hub) -> Response {
    match hub.render_metrics() {
        Ok(text) => Response::new(Body::new(text)),
        Err(error) => {
            log::error!("cannot render metrics: {error}");
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
