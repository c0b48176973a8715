//! Starts an estate and controls its components.

use crate::component::Component;
use crate::listener::{BoundListener, bind, bind_any_port, bind_with_retry, into_tokio};
use crate::ready_file::ReadyFile;
use bytes::Bytes;
use filberttrail_declare::model::Declarations;
use filberttrail_declare::sample;
use filberttrail_entry::Entry;
use filberttrail_kernel::{Disabled, Error, Mechanism, Result};
use filberttrail_relay::RuntimeHandles;
use filberttrail_sidecar::Sidecar;
use filberttrail_stand_in as stand_in;
use filberttrail_store::{Platform, configuration};
use filberttrail_web::Limits;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The shared secret of entries and sidecars.
const SECRET: &[u8] = b"a secret for loopback only";
/// The timeout until all entries have reported that they are ready, for all of them together.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay between two tries to put the declarations in force.
const APPLY_DELAY: Duration = Duration::from_millis(100);

/// The options of an estate.
#[derive(Debug, Clone)]
pub struct Options {
    /// The routing policy of the entries.
    pub policy: String,
    /// The duration of one step of a stand-in engine: one lock-step forward pass of its batch.
    pub step: Duration,
    /// The mechanisms that tests and benchmarks disable.
    pub disabled: Disabled,
    /// The port for callers of the first entry; the others take the ports that follow. With 0,
    /// the system chooses the ports.
    pub first_port: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: "expected-wait".into(),
            step: Duration::from_millis(10),
            disabled: Disabled::new(),
            first_port: 0,
        }
    }
}

/// The addresses of one sidecar and its upstream.
#[derive(Debug, Clone)]
struct Endpoints {
    name: String,
    listen: SocketAddr,
    admin: SocketAddr,
    upstream: SocketAddr,
}

/// A running estate: a stand-in platform, engines and services, with a sidecar for each upstream
/// and an entry for each data centre.
pub struct Estate {
    /// The content of the file that `dev --ready-file` writes: the URLs, keys and names that
    /// callers need.
    pub ready_file: ReadyFile,
    /// The declarations that were applied at the start.
    pub declarations: Declarations,
    /// The address of the stand-in platform.
    pub platform: SocketAddr,
    /// The address for callers of each entry, one per data centre.
    pub caller_addresses: Vec<SocketAddr>,
    /// The admin address of each entry, in the order of `caller_addresses`.
    pub admin_addresses: Vec<SocketAddr>,
    options: Options,
    /// By the name of the upstream.
    endpoints: BTreeMap<String, Endpoints>,
    /// In the order of `sample::DATA_CENTRES`; `None` before the start and after `take_entry`.
    entries: Vec<Option<Component>>,
    /// The running sidecars, by the name of the upstream.
    sidecars: BTreeMap<String, Component>,
    /// Handles for inspecting the state of the engines, by upstream; `stand_ins` runs them.
    engines: BTreeMap<String, stand_in::Engine>,
    /// Handles for inspecting the state of the services, by service; `stand_ins` runs them.
    services: BTreeMap<String, stand_in::Service>,
    /// Two components: the platform, and all engines and services together.
    stand_ins: Vec<Component>,
    /// Bound listeners of components that have not started yet.
    reserved: HashMap<SocketAddr, TcpListener>,
}

/// Puts the declarations of an estate in force, and tries again while the platform does not answer: on a
/// busy VM, its first answers may take longer than a call does. Fails with the last error after
/// [`READY_TIMEOUT`].
pub async fn apply_declarations(platform: &Platform, declarations: &Declarations) -> Result<()> {
    let started_at = Instant::now();
    loop {
        // "dev" is the id of this change; it is unique because the platform is new.
        match configuration::apply(platform, declarations, "dev".into()).await {
            Ok(_) => return Ok(()),
            Err(error) if started_at.elapsed() >= READY_TIMEOUT => return Err(error),
            Err(error) => log::info!("the platform is not ready: {}", error.current_context()),
        }
        tokio::time::sleep(APPLY_DELAY).await;
    }
}

fn start_component<F, R>(name: &str, task: F) -> Result<Component>
where
    F: FnOnce(tokio::runtime::Handle, watch::Receiver<bool>) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    Component::start(name, task)
        .map_err(|error| Error::system(name, error, "raise the thread and file limits").into())
}

impl Estate {
    /// Starts the sample estate and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if a port or thread is not available or an entry does not become ready,
    /// and any error of applying the declarations.
    pub async fn start(options: Options) -> Result<Self> {
        let mut estate = Self::start_stand_ins(options)?;
        apply_declarations(&Platform::new(estate.platform), &estate.declarations).await?;
        for name in estate.endpoints.keys().cloned().collect::<Vec<_>>() {
            estate.start_sidecar(&name)?;
        }
        for index in 0..sample::DATA_CENTRES.len() {
            estate.start_entry(index)?;
        }
        estate.wait_until_ready().await?;
        Ok(estate)
    }

    /// Starts the stand-ins, and binds the addresses of the sidecars and entries without starting
    /// the sidecars and entries.
    fn start_stand_ins(options: Options) -> Result<Self> {
        let (platform_listener, platform) = bind_any_port()?;
        // One sidecar listener per upstream. `sample::declarations` assigns the ports to the
        // upstreams in the order in which it declares them, and `start_upstreams` pairs listeners
        // with upstreams in the same order.
        let mut ports = Vec::new();
        let mut sidecar_listeners = Vec::new();
        let count = sample::ENGINES + sample::SERVICES.len() * sample::INSTANCES;
        for _ in 0..count {
            let (listener, address) = bind_any_port()?;
            ports.push(address.port());
            sidecar_listeners.push((listener, address));
        }
        let declarations = sample::declarations(&ports);
        let mut estate = Self {
            ready_file: ReadyFile {
                callers: Vec::new(),
                admin: String::new(),
                admins: Vec::new(),
                platform: format!("http://{platform}"),
                teams: (0..sample::TEAMS)
                    .map(|index| (sample::team_name(index), sample::team_key(index)))
                    .collect(),
                services: sample::SERVICES.map(String::from).to_vec(),
            },
            declarations,
            platform,
            caller_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            options,
            endpoints: BTreeMap::new(),
            entries: Vec::new(),
            sidecars: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            stand_ins: Vec::new(),
            reserved: HashMap::new(),
        };
        let platform_stand_in = stand_in::Platform::new(stand_in::platform::Rates::default());
        estate.stand_ins.push(start_component("platform", |_, stop| async move {
            if let Some(listener) = into_tokio(platform_listener) {
                platform_stand_in.run(listener, stop).await;
            }
        })?);
        estate.start_upstreams(sidecar_listeners)?;
        estate.bind_entry_addresses()?;
        Ok(estate)
    }

    /// Starts all engines and services as one component, and reserves the addresses of their
    /// sidecars.
    fn start_upstreams(&mut self, mut sidecar_listeners: Vec<BoundListener>) -> Result<()> {
        let upstreams = self.declarations.estate.upstreams.clone();
        let mut upstream_listeners = Vec::new();
        for _ in &upstreams {
            upstream_listeners.push(bind_any_port()?);
        }
        let upstream_addresses: Vec<SocketAddr> =
            upstream_listeners.iter().map(|(_, address)| *address).collect();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for (index, upstream) in upstreams.iter().enumerate() {
            let (listener, address) = upstream_listeners.remove(0);
            let listen = self.reserve(sidecar_listeners.remove(0));
            let admin = self.reserve(bind_any_port()?);
            let endpoints =
                Endpoints { name: upstream.name.clone(), listen, admin, upstream: address };
            self.endpoints.insert(upstream.name.clone(), endpoints);
            if upstream.group.is_some() {
                // The ranks of a group are declared next to each other, from rank 0, the leader.
                // Only the leader sends requests to its peers.
                let peers = match upstream.rank {
                    0 => upstream_addresses[index + 1..index + sample::RANKS].to_vec(),
                    _ => Vec::new(),
                };
                let settings = stand_in::engine::Settings {
                    // Both limits are numbers of concurrent requests.
                    cold_limit: upstream.cold_limit,
                    warm_limit: upstream.warm_limit,
                    step: self.options.step,
                    checks_fences: upstream.checks_fences,
                    rank: upstream.rank,
                    peers,
                    // Without the barrier, an engine runs each step on the newest expert map that
                    // it has, instead of the version that the group's leader sends with the step.
                    uses_newest_map: !self.options.disabled.is_enabled(Mechanism::Barrier),
                    ..Default::default()
                };
                let engine = stand_in::Engine::new(settings);
                self.engines.insert(upstream.name.clone(), engine.clone());
                engines.push((listener, engine));
            } else {
                let service = upstream.service.clone().unwrap_or_default();
                let service_stand_in = self.services.entry(service).or_default().clone();
                services.push((listener, service_stand_in));
            }
        }
        self.stand_ins.push(start_component("upstreams", |_, stop| async move {
            let mut running = tokio::task::JoinSet::new();
            for (listener, engine) in engines {
                if let Some(listener) = into_tokio(listener) {
                    running.spawn(engine.run(listener, stop.clone()));
                }
            }
            for (listener, service) in services {
                if let Some(listener) = into_tokio(listener) {
                    running.spawn(service.run(listener, stop.clone()));
                }
            }
            while running.join_next().await.is_some() {}
        })?);
        Ok(())
    }

    /// Binds the addresses of the entries for callers and for the admin interface.
    fn bind_entry_addresses(&mut self) -> Result<()> {
        for index in 0..sample::DATA_CENTRES.len() as u16 {
            let bound = match self.options.first_port {
                0 => bind_any_port()?,
                first => bind(SocketAddr::from((Ipv4Addr::LOCALHOST, first + index)))?,
            };
            let caller_address = self.reserve(bound);
            let admin_address = self.reserve(bind_any_port()?);
            self.caller_addresses.push(caller_address);
            self.admin_addresses.push(admin_address);
            self.entries.push(None);
            self.ready_file.callers.push(format!("http://{caller_address}"));
            self.ready_file.admins.push(format!("http://{admin_address}"));
        }
        self.ready_file.admin = self.ready_file.admins[0].clone();
        Ok(())
    }

    /// Keeps a listener until the component that uses it starts; returns its address.
    fn reserve(&mut self, (listener, address): BoundListener) -> SocketAddr {
        self.reserved.insert(address, listener);
        address
    }

    /// Returns the listener for an address: the reserved one, or a new one after a restart.
    fn take_listener(&mut self, address: SocketAddr) -> Result<TcpListener> {
        match self.reserved.remove(&address) {
            Some(listener) => Ok(listener),
            None => bind_with_retry(address).map(|(listener, _)| listener),
        }
    }

    /// Starts the sidecar of an upstream at its declared address.
    ///
    /// # Errors
    ///
    /// [`Error::Request`] if the sample has no such upstream, and [`Error::System`] if the address
    /// or a thread is not available.
    pub fn start_sidecar(&mut self, name: &str) -> Result<()> {
        let Some(endpoints) = self.endpoints.get(name).cloned() else {
            let help = "name an upstream of the sample";
            return Err(Error::request(name, "no such upstream", help).into());
        };
        let settings = filberttrail_sidecar::Settings {
            name: endpoints.name.clone(),
            listen: endpoints.listen,
            admin: endpoints.admin,
            upstream: endpoints.upstream,
            platform: self.platform,
            secret: Bytes::from_static(SECRET),
            head_wait: Duration::from_secs(30),
            pause_wait: Duration::from_secs(10),
            drain_wait: Duration::from_secs(30),
            connections: 1_024,
            memory_bytes: 1_024_000_000,
            disabled: self.options.disabled.clone(),
        };
        let frame_listener = self.take_listener(endpoints.listen)?;
        let admin_listener = self.take_listener(endpoints.admin)?;
        let task = move |handle: tokio::runtime::Handle, stop| async move {
            // Control and traffic share one single-threaded runtime, so that a freeze stops the
            // whole component.
            let runtimes = RuntimeHandles::new(handle.clone(), handle);
            if let (Some(frames), Some(admin)) =
                (into_tokio(frame_listener), into_tokio(admin_listener))
            {
                Sidecar::new(settings, runtimes, frames, admin).run(stop).await;
            }
        };
        self.sidecars.insert(name.to_string(), start_component(name, task)?);
        Ok(())
    }

    /// Starts the entry of the data centre `sample::DATA_CENTRES[index]`.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if the address or a thread is not available.
    ///
    /// # Panics
    ///
    /// If there is no data centre with this index.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let data_centre = sample::DATA_CENTRES[index].to_string();
        let name = format!("entry-{data_centre}");
        let settings = filberttrail_entry::Settings {
            name: name.clone(),
            data_centre,
            listen: self.caller_addresses[index],
            admin: self.admin_addresses[index],
            platform: self.platform,
            secret: Bytes::from_static(SECRET),
            // Two sidecars, from which the entry receives the configuration while the platform is
            // unavailable.
            seeds: self.endpoints.values().take(2).map(|endpoints| endpoints.listen).collect(),
            // Connects to at most 16 upstreams per model or service: all of the sample.
            subset: 16,
            policy: self.options.policy.clone(),
            limits: Limits::default(),
            body_bytes: 1 << 20,
            memory_bytes: 1_024_000_000,
            body_wait: Duration::from_secs(10),
            request_wait: Duration::from_secs(10),
            leave_notice: Duration::from_millis(200),
            disabled: self.options.disabled.clone(),
        };
        let caller_listener = self.take_listener(self.caller_addresses[index])?;
        let admin_listener = self.take_listener(self.admin_addresses[index])?;
        let task = move |handle: tokio::runtime::Handle, stop| async move {
            // Control and traffic share one single-threaded runtime, so that a freeze stops the
            // whole component.
            let runtimes = RuntimeHandles::new(handle.clone(), handle);
            if let (Some(callers), Some(admin)) =
                (into_tokio(caller_listener), into_tokio(admin_listener))
                && let Err(error) = Entry::new(settings, runtimes, callers, admin).run(stop).await
            {
                log::error!("entry stopped with an error: {error:?}");
            }
        };
        self.entries[index] = Some(start_component(&name, task)?);
        Ok(())
    }

    /// Waits until every entry has reported that it is ready.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if one has not within 20 s, for all of them together.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let client = filberttrail_web::Client::new();
        let waiting = async {
            for admin in &self.admin_addresses {
                while !is_ready(&client, *admin).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, waiting).await.map_err(|_| {
            let help = "check the log for the cause";
            Error::system("entries", "not all became ready within the timeout", help).into()
        })
    }

    /// Removes the sidecar of an upstream from the estate and returns it, so that the caller can
    /// kill or stop it. Returns `None` if it does not run.
    pub fn take_sidecar(&mut self, name: &str) -> Option<Component> {
        self.sidecars.remove(name)
    }

    /// Removes the entry of the data centre `sample::DATA_CENTRES[index]` from the estate and
    /// returns it, so that the caller can kill or stop it. Returns `None` if it does not run.
    pub fn take_entry(&mut self, index: usize) -> Option<Component> {
        self.entries.get_mut(index)?.take()
    }

    /// Requests that the sidecar of an upstream freeze until the returned sender is dropped or
    /// sends, and for at most `max_duration`. Returns `None` if the sidecar does not run.
    pub fn freeze_sidecar(
        &self,
        name: &str,
        max_duration: Duration,
    ) -> Option<std::sync::mpsc::Sender<()>> {
        self.sidecars.get(name).map(|component| component.freeze(max_duration))
    }

    /// Returns the stand-in engine of an upstream, to inspect its state.
    pub fn engine(&self, name: &str) -> Option<&stand_in::Engine> {
        self.engines.get(name)
    }

    /// Returns all stand-in engines by the name of the upstream.
    pub fn engines(&self) -> &BTreeMap<String, stand_in::Engine> {
        &self.engines
    }

    /// Returns the stand-in of a service, to inspect its state, which all instances share.
    pub fn service(&self, name: &str) -> Option<&stand_in::Service> {
        self.services.get(name)
    }

    /// Returns the address of the engine or service of an upstream.
    pub fn upstream_address(&self, name: &str) -> Option<SocketAddr> {
        self.endpoints.get(name).map(|endpoints| endpoints.upstream)
    }

    /// Returns the address on which the sidecar of an upstream accepts connections from entries.
    pub fn sidecar_address(&self, name: &str) -> Option<SocketAddr> {
        self.endpoints.get(name).map(|endpoints| endpoints.listen)
    }

    /// Stops all components gracefully: first the entries, then the sidecars, then the stand-ins.
    pub fn stop(mut self) {
        let entries: Vec<Component> = self.entries.iter_mut().filter_map(Option::take).collect();
        stop_all(entries);
        let sidecars = std::mem::take(&mut self.sidecars);
        stop_all(sidecars.into_values().collect());
        stop_all(std::mem::take(&mut self.stand_ins));
    }
}

fn stop_all(components: Vec<Component>) {
    components.iter().for_each(Component::request_stop);
    components.into_iter().for_each(Component::stop);
}

async fn is_ready(client: &filberttrail_web::Client, admin: SocketAddr) -> bool {
    let request = hyper::Request::get("/ready").header("host", "entry");
    let Ok(request) = request.body(filberttrail_web::Body::empty()) else { return false };
    // Reads a response body of at most 4,096 bytes within 1 s.
    let response = client.fetch(admin, request, Duration::from_secs(1), 4_096).await;
    response.is_ok_and(|response| response.status().is_success())
}
