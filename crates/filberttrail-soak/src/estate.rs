//! The estate under test: gateway processes, simulated upstreams, a simulated store and the links
//! between them. Injects faults into them.

use crate::callers;
use crate::endpoint::{Endpoint, HARMFUL_BODY};
use crate::evidence::{
    Component, DRAINING_TIME, Departure, Disturbance, Evidence, HarmfulRun, Key, Out, Run, Stop,
};
use crate::fault::{Fault, Hop, Impairment, Malfunction};
use crate::gateway::Gateway;
use crate::plan::Size;
use crate::run::Settings;
use crate::verdict::Bounds;
use filberttrail_kernel::{Error, Result};
use filberttrail_platform::store::{CONFIGURATION, CONFIGURATION_NAME, OUTS, UPSTREAMS};
use filberttrail_platform_stand_in::store::Mode;
use filberttrail_platform_stand_in::{Kind, Script, Store, caller};
use filberttrail_test_support::process::ProcessSignal;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 2] = ["noord", "zuid"];
/// Name of the service that all routes use.
pub const SERVICE: &str = "desk";
/// Grace period of the gateways: the longest time that a stop may take.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Pause before a gateway's process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time from the end of an upstream until another instance takes over its address.
const UPSTREAM_RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time within which all gateways must be ready at first. It covers the start of the processes and
/// the first responses of the store, also on a busy VM.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a readiness probe.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the body of a readiness response, in bytes.
const READINESS_BODY_LIMIT: usize = 1_024;
/// Interval at which the states of processes and upstreams are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of an upstream's response, and of each event of a stream, in normal operation.
pub const RESPONSE_DELAY: Duration = Duration::from_millis(15);
/// Delay of an upstream's response, and of each event of a stream, while it is slow.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(600);
/// How long a new API key and the previous one are both valid. Callers begin to use the new key at
/// the end of it.
const KEY_OVERLAP: Duration = Duration::from_millis(1_200);
/// Maximum duration of an upstream's misbehaviour.
const MAX_MISBEHAVIOUR: Duration = Duration::from_millis(2_500);
/// Interval at which another writer writes its objects.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The kinds of its objects, and their values: a lone surrogate, a number out of range, bytes that are
/// no text, and no JSON.
const ODD_KINDS: [&str; 3] = ["servers", "config", "filberttrail-entries"];
const ODD_VALUES: [&[u8]; 4] = [
    br#"{"state":"ready","zone":"\ud83d"}"#,
    br#"{"state":"ready","slots":1e400}"#,
    b"{\"state\":\"\xff\xfe\"}",
    b"nonsense",
];
/// The wrong responses of a misbehaving upstream.
const SCRIPTS: [Script; 10] = [
    Script::Refuse,
    Script::EarlierRefusal(503),
    Script::Shed,
    Script::Fail,
    Script::MismatchedId,
    Script::Unsigned,
    Script::Close,
    Script::BreakAfter(2),
    Script::Silent,
    Script::Duplicate,
];

/// Returns the index of the data centre of the gateway or the upstream endpoint with this index.
pub fn data_centre(index: usize) -> usize {
    index % DATA_CENTRES.len()
}

/// An estate under test. Its processes are killed when it is dropped.
pub struct Estate {
    settings: Settings,
    started_at: Instant,
    store: Store,
    /// The gateways, ordered by index.
    pub gateways: Vec<Gateway>,
    endpoints: Vec<tokio::sync::Mutex<Endpoint>>,
    /// For each data centre, a lock that is held while it is out of service.
    outs: Vec<tokio::sync::Mutex<()>>,
    /// Version of the configuration in the store. Locked while an API key is replaced.
    configuration_version: tokio::sync::Mutex<u64>,
    evidence: Mutex<Evidence>,
    /// Index of the API key that callers use.
    pub current_key: AtomicUsize,
    is_shutting_down: AtomicBool,
}

/// Returns the API key with this index.
pub fn api_key(index: usize) -> String {
    format!("key-of-callers-{index:04}")
}

fn system_error(what: &str, error: impl ToString) -> Error {
    Error::system(what, error, "free ports, memory or disk space, and start again")
}

impl Estate {
    /// Starts an estate and waits until all its gateways are ready for requests. Fails if the
    /// directory, a gateway or a link cannot be set up, or if a gateway is not ready in time.
    pub async fn start(settings: Settings, size: Size, bounds: &Bounds) -> Result<Arc<Self>> {
        let directory = settings.directory.clone();
        std::fs::create_dir_all(&directory).map_err(|error| system_error("folder", error))?;
        let store = Store::start().await;
        let mut gateways = Vec::new();
        for index in 0..size.gateways {
            let started = Gateway::new(&settings, index, store.address, bounds.retries).await;
            gateways.push(started.map_err(|error| system_error("gateway", error))?);
        }
        let mut endpoints = Vec::new();
        for index in 0..size.upstreams {
            let endpoint =
                Endpoint::new(index).await.map_err(|error| system_error("link", error))?;
            endpoint.register(&store, "ready");
            endpoints.push(tokio::sync::Mutex::new(endpoint));
        }
        store.write(CONFIGURATION, CONFIGURATION_NAME, caller::configuration(1, &[&api_key(0)]));
        let first_key = Key { added: Duration::ZERO, revoked: None };
        let evidence = Evidence { keys: vec![first_key], ..Evidence::default() };
        let estate = Arc::new(Self {
            settings,
            started_at: Instant::now(),
            store,
            gateways,
            endpoints,
            outs: DATA_CENTRES.iter().map(|_| tokio::sync::Mutex::new(())).collect(),
            configuration_version: tokio::sync::Mutex::new(1),
            evidence: Mutex::new(evidence),
            current_key: AtomicUsize::new(0),
            is_shutting_down: AtomicBool::new(false),
        });
        for index in 0..size.gateways {
            tokio::spawn(estate.clone().supervise(index));
        }
        for index in 0..size.upstreams {
            tokio::spawn(estate.clone().replace_ended(index));
        }
        estate.wait_until_ready().await?;
        Ok(estate)
    }

    /// Returns the time since the start of the estate.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the evidence that has been recorded so far. Executions by upstreams are only added at
    /// the end.
    pub fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let client = filberttrail_web::Client::new();
        let path = filberttrail_platform::settings::READINESS_PATH;
        for gateway in &self.gateways {
            loop {
                let response = client.call(
                    gateway.ready,
                    hyper::Method::GET,
                    path,
                    Vec::new(),
                    READINESS_TIMEOUT,
                    READINESS_BODY_LIMIT,
                );
                if response.await.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
                if self.now() > START_TIMEOUT {
                    let help = "see its log in the run's directory";
                    return Err(Error::system("gateway", "it is not ready", help).into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Runs a gateway's process, and restarts it whenever it has exited.
    async fn supervise(self: Arc<Self>, index: usize) {
        let gateway = &self.gateways[index];
        while !self.is_shutting_down.load(Ordering::Relaxed) {
            let incarnation = gateway.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
            gateway.stop_requested.store(false, Ordering::Relaxed);
            match gateway.spawn(&self.settings, incarnation) {
                Ok(()) => {}
                Err(error) => {
                    self.evidence().unexpected_exits.push(format!("gateway {index}: {error}"));
                    return;
                }
            }
            // Each start of a process counts as an unplanned disturbance, also after a planned
            // stop.
            let now = self.now();
            let component = Component::Gateway(index);
            self.evidence().disturbances.push(Disturbance {
                from: now,
                to: now,
                component,
                planned: false,
            });
            let status = loop {
                if let Some(status) = gateway.exit_status() {
                    break status;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            if !gateway.stop_requested.load(Ordering::Relaxed) {
                let end =
                    format!("gateway {index}, process {incarnation}, ended by itself: {status}");
                self.evidence().unexpected_exits.push(end);
            }
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    /// Injects a fault, waits until it is over, and records in the evidence what the verdict needs.
    pub async fn inject(self: Arc<Self>, fault: Fault) {
        let from = self.now();
        let component = match fault {
            Fault::Kill(index) => {
                self.gateways[index].stop_requested.store(true, Ordering::Relaxed);
                self.gateways[index].signal(ProcessSignal::SIGKILL);
                Some(Component::Gateway(index))
            }
            Fault::Freeze(index, duration) => {
                self.gateways[index].signal(ProcessSignal::SIGSTOP);
                tokio::time::sleep(duration).await;
                self.gateways[index].signal(ProcessSignal::SIGCONT);
                Some(Component::Gateway(index))
            }
            Fault::Stop(index) => {
                let life = self.gateways[index].incarnation.load(Ordering::Relaxed);
                self.gateways[index].stop_requested.store(true, Ordering::Relaxed);
                self.gateways[index].signal(ProcessSignal::SIGTERM);
                self.evidence().stops.push(Stop { gateway: index, life, at: from });
                None
            }
            Fault::Reload(index) => {
                self.gateways[index].signal(ProcessSignal::SIGHUP);
                None
            }
            Fault::Link(hop, impairment, duration) => {
                Some(self.impair_link(hop, impairment, duration).await)
            }
            Fault::Store(malfunction, duration) => {
                self.disrupt_store(malfunction, duration).await;
                Some(Component::Store)
            }
            Fault::OddWriter(duration) => {
                self.write_odd_objects(duration).await;
                None
            }
            Fault::Misbehave(index, times) => {
                self.script_failures(index, times).await;
                Some(Component::Upstream(index))
            }
            Fault::Slow(index, duration) => {
                let upstream = self.endpoints[index].lock().await.upstream.clone();
                upstream.set_delay(SLOW_RESPONSE_DELAY);
                tokio::time::sleep(duration).await;
                upstream.set_delay(RESPONSE_DELAY);
                Some(Component::Upstream(index))
            }
            Fault::Crash(index, duration) => {
                self.replace(index, false, duration).await;
                Some(Component::Upstream(index))
            }
            Fault::Harm(duration) => {
                callers::run_harmful_caller(self.clone(), from + duration).await;
                None
            }
            Fault::Leave(index) => {
                self.replace(index, true, DRAINING_TIME).await;
                None
            }
            Fault::ReplaceKey => {
                self.replace_key().await;
                None
            }
            Fault::Out(data_centre, duration) => {
                self.take_out(data_centre, duration).await;
                None
            }
        };
        let to = self.now();
        if let Some(component) = component {
            self.evidence().disturbances.push(Disturbance {
                from,
                to,
                component,
                planned: fault.is_planned(),
            });
        }
    }

    async fn impair_link(&self, hop: Hop, impairment: Impairment, duration: Duration) -> Component {
        let (link, component) = match hop {
            Hop::Callers(index) => (self.gateways[index].front.clone(), Component::Gateway(index)),
            Hop::Store(index) => (self.gateways[index].store.clone(), Component::Gateway(index)),
            Hop::Upstream(index) => {
                (self.endpoints[index].lock().await.link.clone(), Component::Upstream(index))
            }
        };
        link.impair(impairment);
        tokio::time::sleep(duration).await;
        link.restore();
        component
    }

    async fn disrupt_store(&self, malfunction: Malfunction, duration: Duration) {
        match malfunction {
            Malfunction::Unavailable => self.store.set_mode(Mode::Unavailable),
            Malfunction::Silent => self.store.set_mode(Mode::Silent),
            Malfunction::LosesResponses => self.store.set_mode(Mode::LoseResponses),
            Malfunction::DiscardsHistory => return self.store.discard_history(),
        }
        tokio::time::sleep(duration).await;
        self.store.set_mode(Mode::Healthy);
    }

    /// Writes unreadable objects of the kinds that gateways read, at each heartbeat, and removes them
    /// in the end.
    async fn write_odd_objects(&self, duration: Duration) {
        let until = self.now() + duration;
        while self.now() < until {
            for (number, value) in ODD_VALUES.iter().enumerate() {
                for kind in ODD_KINDS {
                    self.store.write_raw(kind, &format!("odd-{number}"), value);
                }
            }
            tokio::time::sleep(HEARTBEAT.min(until.saturating_sub(self.now()))).await;
        }
        for number in 0..ODD_VALUES.len() {
            ODD_KINDS.iter().for_each(|kind| self.store.remove(kind, &format!("odd-{number}")));
        }
    }

    async fn script_failures(&self, index: usize, times: usize) {
        let upstream = self.endpoints[index].lock().await.upstream.clone();
        let scripts: Vec<Script> = (0..times).filter_map(|_| fastrand::choice(SCRIPTS)).collect();
        upstream.script(&scripts);
        // A failing upstream gets few requests. Without this limit, unused scripts would still fail
        // requests after the last fault of the plan.
        let until = self.now() + MAX_MISBEHAVIOUR;
        while upstream.pending_scripts() > 0 && self.now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        upstream.clear_scripts();
    }

    /// Replaces the upstreams at an endpoint that have ended by themselves.
    async fn replace_ended(self: Arc<Self>, index: usize) {
        while !self.is_shutting_down.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
            let ended = self.endpoints[index]
                .try_lock()
                .is_ok_and(|endpoint| endpoint.upstream.has_ended());
            if ended {
                self.replace(index, false, UPSTREAM_RESTART_DELAY).await;
            }
        }
    }

    /// Replaces the upstream at an endpoint by another instance with the same address. If
    /// announced, the upstream is registered as draining for this time before it stops; otherwise
    /// it stops immediately, and its registration is removed after this time.
    async fn replace(&self, index: usize, announced: bool, duration: Duration) {
        // Does nothing while a replacement is already in progress.
        let Ok(mut endpoint) = self.endpoints[index].try_lock() else { return };
        if announced {
            endpoint.register(&self.store, "draining");
            let departure = Departure { instance: endpoint.upstream.id.clone(), at: self.now() };
            self.evidence().departures.push(departure);
        } else {
            endpoint.upstream.stop();
        }
        tokio::time::sleep(duration).await;
        self.store.remove(UPSTREAMS, &endpoint.upstream.id);
        let ended_at = endpoint.upstream.ended_at();
        endpoint.upstream.stop();
        endpoint.replace().await;
        endpoint.register(&self.store, "ready");
        // Callers see an end before it is polled, so the disturbance begins when the upstream ended.
        if let Some(ended_at) = ended_at {
            self.evidence().disturbances.push(Disturbance {
                from: ended_at.duration_since(self.started_at),
                to: self.now(),
                component: Component::Upstream(index),
                planned: false,
            });
        }
    }

    async fn replace_key(&self) {
        let mut version = self.configuration_version.lock().await;
        let previous = self.current_key.load(Ordering::Relaxed);
        let (old, new) = (api_key(previous), api_key(previous + 1));
        *version += 1;
        self.store.write(
            CONFIGURATION,
            CONFIGURATION_NAME,
            caller::configuration(*version, &[&old, &new]),
        );
        let added = self.now();
        self.evidence().keys.push(Key { added, revoked: None });
        tokio::time::sleep(KEY_OVERLAP).await;
        self.current_key.store(previous + 1, Ordering::Relaxed);
        *version += 1;
        self.store.write(
            CONFIGURATION,
            CONFIGURATION_NAME,
            caller::configuration(*version, &[&new]),
        );
        let revoked = self.now();
        self.evidence().keys[previous].revoked = Some(revoked);
    }

    async fn take_out(&self, data_centre: usize, duration: Duration) {
        let Ok(_out) = self.outs[data_centre].try_lock() else { return };
        self.store.write(OUTS, DATA_CENTRES[data_centre], json!({}));
        let out = Out { data_centre, from: self.now(), to: Duration::MAX };
        let index = {
            let mut evidence = self.evidence();
            evidence.outs.push(out);
            evidence.outs.len() - 1
        };
        tokio::time::sleep(duration).await;
        self.evidence().outs[index].to = self.now();
        self.store.remove(OUTS, DATA_CENTRES[data_centre]);
    }

    /// Kills all processes and returns the evidence.
    pub async fn shut_down(&self) -> Evidence {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        for gateway in &self.gateways {
            gateway.stop_requested.store(true, Ordering::Relaxed);
            gateway.signal(ProcessSignal::SIGCONT);
            gateway.signal(ProcessSignal::SIGKILL);
        }
        let mut evidence = std::mem::take(&mut *self.evidence());
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            for upstream in &endpoint.lock().await.instances {
                for run in upstream.runs() {
                    let at = run
                        .received_at
                        .map(|at| at.duration_since(self.started_at))
                        .unwrap_or_default();
                    if run.body == HARMFUL_BODY.as_bytes() {
                        let gateway = run.request_id.split('-').nth(1);
                        let gateway = gateway.and_then(|index| index.parse().ok());
                        let gateway = gateway.unwrap_or_default();
                        let has_path = |kind: &Kind| run.request_line.ends_with(kind.path());
                        let kind = callers::KINDS.into_iter().find(has_path).unwrap_or(Kind::Read);
                        evidence.harmful_runs.push(HarmfulRun { kind, gateway, at });
                        continue;
                    }
                    let faithful = caller::is_forwarded_unchanged(&run);
                    let instance = upstream.id.clone();
                    let request = run.request_id;
                    evidence.runs.push(Run { request, upstream: index, instance, at, faithful });
                }
            }
        }
        evidence
    }
}
