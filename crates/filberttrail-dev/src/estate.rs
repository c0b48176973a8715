//! Starts the estate and takes parts of it down.

use crate::bound::{Bound, bind, bind_again, bind_any, listener};
use crate::component::Component;
use crate::ready::Ready;
use bytes::Bytes;
use filberttrail_declare::model::Declarations;
use filberttrail_declare::sample;
use filberttrail_entry::Entry;
use filberttrail_kernel::{Error, Mechanism, Result, Without};
use filberttrail_relay::Threads;
use filberttrail_sidecar::Sidecar;
use filberttrail_stand_in as stand_in;
use filberttrail_store::{Platform, configuration};
use filberttrail_web::Limits;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::watch;

/// The secret of estates on loopback.
const SECRET: &[u8] = b"a secret for loopback only";
/// How long an estate may take to serve.
const START_WAIT: Duration = Duration::from_secs(20);

/// How an estate is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// The entries' routing policy.
    pub policy: String,
    /// Time of an engine's step.
    pub step: Duration,
    /// Mechanisms that are left out.
    pub without: Without,
    /// The address that entries and stand-ins bind: port 0, or the first of a row of ports.
    pub first_port: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: "expected-wait".into(),
            step: Duration::from_millis(10),
            without: Without::new(),
            first_port: 0,
        }
    }
}

/// Where one sidecar and its upstream are.
#[derive(Debug, Clone)]
struct Place {
    name: String,
    listen: SocketAddr,
    admin: SocketAddr,
    upstream: SocketAddr,
}

/// A running estate.
pub struct Estate {
    /// What users of the estate need.
    pub ready: Ready,
    /// The declarations in force at the start.
    pub declarations: Declarations,
    /// The stand-in platform's address.
    pub platform: SocketAddr,
    /// Callers' addresses, one a data centre.
    pub callers: Vec<SocketAddr>,
    /// The entries' admin addresses.
    pub admins: Vec<SocketAddr>,
    options: Options,
    places: BTreeMap<String, Place>,
    entries: Vec<Option<Component>>,
    sidecars: BTreeMap<String, Component>,
    engines: BTreeMap<String, stand_in::Engine>,
    services: BTreeMap<String, stand_in::Service>,
    stand_ins: Vec<Component>,
    reserved: HashMap<SocketAddr, TcpListener>,
}

fn cell<F, R>(name: &str, role: F) -> Result<Component>
where
    F: FnOnce(tokio::runtime::Handle, watch::Receiver<bool>) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    Component::start(name, role)
        .map_err(|fault| Error::system(name, fault, "raise the limit of threads").into())
}

impl Estate {
    /// Starts the sample estate and waits until a request would be served.
    pub async fn start(options: Options) -> Result<Self> {
        let mut estate = Self::start_stand_ins(options)?;
        let platform = Platform::new(estate.platform);
        configuration::apply(&platform, &estate.declarations, "dev".into()).await?;
        for name in estate.places.keys().cloned().collect::<Vec<_>>() {
            estate.start_sidecar(&name)?;
        }
        for index in 0..sample::DATA_CENTRES.len() {
            estate.start_entry(index)?;
        }
        estate.wait_until_ready().await?;
        Ok(estate)
    }

    fn start_stand_ins(options: Options) -> Result<Self> {
        let (platform_listener, platform) = bind_any()?;
        let mut ports = Vec::new();
        let mut sidecars = Vec::new();
        let count = sample::ENGINES + sample::SERVICES.len() * sample::INSTANCES;
        for _ in 0..count {
            let (bound, address) = bind_any()?;
            ports.push(address.port());
            sidecars.push((bound, address));
        }
        let declarations = sample::declarations(&ports);
        let mut estate = Self {
            ready: Ready {
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
            callers: Vec::new(),
            admins: Vec::new(),
            options,
            places: BTreeMap::new(),
            entries: Vec::new(),
            sidecars: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            stand_ins: Vec::new(),
            reserved: HashMap::new(),
        };
        let fake = stand_in::Platform::new(stand_in::platform::Rates::default());
        estate.stand_ins.push(cell("platform", |_, stop| async move {
            if let Some(listener) = listener(platform_listener) {
                fake.run(listener, stop).await;
            }
        })?);
        estate.start_upstreams(sidecars)?;
        estate.bind_callers()?;
        Ok(estate)
    }

    /// Starts the engines and services on one thread.
    fn start_upstreams(&mut self, mut sidecars: Vec<Bound>) -> Result<()> {
        let upstreams = self.declarations.estate.upstreams.clone();
        let mut bound = Vec::new();
        for _ in &upstreams {
            bound.push(bind_any()?);
        }
        let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for (index, upstream) in upstreams.iter().enumerate() {
            let (listener, address) = bound.remove(0);
            let listen = self.reserve(sidecars.remove(0));
            let admin = self.reserve(bind_any()?);
            let place = Place { name: upstream.name.clone(), listen, admin, upstream: address };
            self.places.insert(upstream.name.clone(), place);
            if upstream.group.is_some() {
                let peers = match upstream.rank {
                    0 => addresses[index + 1..index + sample::RANKS].to_vec(),
                    _ => Vec::new(),
                };
                let settings = stand_in::engine::Settings {
                    cold_limit: upstream.cold_limit,
                    warm_limit: upstream.warm_limit,
                    step: self.options.step,
                    checks_fences: upstream.checks_fences,
                    rank: upstream.rank,
                    peers,
                    own_map: !self.options.without.has(Mechanism::Barrier),
                    ..Default::default()
                };
                let engine = stand_in::Engine::new(settings);
                self.engines.insert(upstream.name.clone(), engine.clone());
                engines.push((listener, engine));
            } else {
                let service = upstream.service.clone().unwrap_or_default();
                let fake = self.services.entry(service).or_default().clone();
                services.push((listener, fake));
            }
        }
        self.stand_ins.push(cell("upstreams", |_, stop| async move {
            let mut running = tokio::task::JoinSet::new();
            for (bound, engine) in engines {
                if let Some(listener) = listener(bound) {
                    running.spawn(engine.run(listener, stop.clone()));
                }
            }
            for (bound, service) in services {
                if let Some(listener) = listener(bound) {
                    running.spawn(service.run(listener, stop.clone()));
                }
            }
            while running.join_next().await.is_some() {}
        })?);
        Ok(())
    }

    fn bind_callers(&mut self) -> Result<()> {
        for index in 0..sample::DATA_CENTRES.len() as u16 {
            let port = match self.options.first_port {
                0 => 0,
                first => first + index,
            };
            let caller = self.reserve(bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?);
            let admin = self.reserve(bind_any()?);
            self.callers.push(caller);
            self.admins.push(admin);
            self.entries.push(None);
            self.ready.callers.push(format!("http://{caller}"));
            self.ready.admins.push(format!("http://{admin}"));
        }
        self.ready.admin = self.ready.admins[0].clone();
        Ok(())
    }

    /// Keeps a bound port until its role starts.
    fn reserve(&mut self, (listener, address): Bound) -> SocketAddr {
        self.reserved.insert(address, listener);
        address
    }

    /// Returns a role's listener: the one bound at the start, or a new one after a restart.
    fn listener(&mut self, address: SocketAddr) -> Result<TcpListener> {
        match self.reserved.remove(&address) {
            Some(listener) => Ok(listener),
            None => bind_again(address).map(|(listener, _)| listener),
        }
    }

    /// Starts a sidecar, at its declared address.
    pub fn start_sidecar(&mut self, name: &str) -> Result<()> {
        let Some(place) = self.places.get(name).cloned() else {
            let help = "name an upstream of the sample";
            return Err(Error::request(name, "no such upstream", help).into());
        };
        let settings = filberttrail_sidecar::Settings {
            name: place.name.clone(),
            listen: place.listen,
            admin: place.admin,
            upstream: place.upstream,
            platform: self.platform,
            secret: Bytes::from_static(SECRET),
            head_wait: Duration::from_secs(30),
            pause_wait: Duration::from_secs(10),
            drain_wait: Duration::from_secs(30),
            without: self.options.without.clone(),
        };
        let frames = self.listener(place.listen)?;
        let admin = self.listener(place.admin)?;
        let role = move |handle: tokio::runtime::Handle, stop| async move {
            let threads = Threads::new(handle.clone(), handle);
            if let (Some(frames), Some(admin)) = (listener(frames), listener(admin)) {
                Sidecar::new(settings, threads, frames, admin).run(stop).await;
            }
        };
        self.sidecars.insert(name.to_string(), cell(name, role)?);
        Ok(())
    }

    /// Starts the entry of a data centre, by its index.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let data_centre = sample::DATA_CENTRES[index].to_string();
        let name = format!("entry-{data_centre}");
        let settings = filberttrail_entry::Settings {
            name: name.clone(),
            data_centre,
            listen: self.callers[index],
            admin: self.admins[index],
            platform: self.platform,
            secret: Bytes::from_static(SECRET),
            seeds: self.places.values().take(2).map(|place| place.listen).collect(),
            subset: 16,
            policy: self.options.policy.clone(),
            limits: Limits::default(),
            body_bytes: 1 << 20,
            body_wait: Duration::from_secs(10),
            request_wait: Duration::from_secs(10),
            leave_notice: Duration::from_millis(200),
            without: self.options.without.clone(),
        };
        let callers = self.listener(self.callers[index])?;
        let admin = self.listener(self.admins[index])?;
        let role = move |handle: tokio::runtime::Handle, stop| async move {
            let threads = Threads::new(handle.clone(), handle);
            if let (Some(callers), Some(admin)) = (listener(callers), listener(admin))
                && let Err(fault) = Entry::new(settings, threads, callers, admin).run(stop).await
            {
                log::error!("{fault:?}");
            }
        };
        self.entries[index] = Some(cell(&name, role)?);
        Ok(())
    }

    /// Waits until every entry says that it is ready.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let client = filberttrail_web::Client::new();
        let waiting = async {
            for admin in &self.admins {
                while !is_ready(&client, *admin).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(START_WAIT, waiting).await.map_err(|_| {
            let help = "look at the log for what is missing";
            Error::system("dev", "the entries did not become ready", help).into()
        })
    }

    /// Takes a sidecar out of the estate's hands, to kill, stop or freeze it.
    pub fn take_sidecar(&mut self, name: &str) -> Option<Component> {
        self.sidecars.remove(name)
    }

    /// Takes the entry of a data centre out of the estate's hands.
    pub fn take_entry(&mut self, index: usize) -> Option<Component> {
        self.entries.get_mut(index)?.take()
    }

    /// Freezes an upstream's sidecar until the sender is dropped.
    pub fn freeze_sidecar(
        &self,
        name: &str,
        longest: Duration,
    ) -> Option<std::sync::mpsc::Sender<()>> {
        self.sidecars.get(name).map(|cell| cell.freeze(longest))
    }

    /// Returns a stand-in engine.
    pub fn engine(&self, name: &str) -> Option<&stand_in::Engine> {
        self.engines.get(name)
    }

    /// Returns all stand-in engines by name.
    pub fn engines(&self) -> &BTreeMap<String, stand_in::Engine> {
        &self.engines
    }

    /// Returns a stand-in service, which all its instances share.
    pub fn service(&self, name: &str) -> Option<&stand_in::Service> {
        self.services.get(name)
    }

    /// Returns the address of an upstream's engine or service, for scripts.
    pub fn upstream_address(&self, name: &str) -> Option<SocketAddr> {
        self.places.get(name).map(|place| place.upstream)
    }

    /// Returns the address where an upstream's sidecar listens.
    pub fn sidecar_address(&self, name: &str) -> Option<SocketAddr> {
        self.places.get(name).map(|place| place.listen)
    }

    /// Stops everything in order: entries, sidecars, stand-ins.
    pub fn stop(mut self) {
        let entries: Vec<Component> = self.entries.iter_mut().filter_map(Option::take).collect();
        stop_all(entries);
        let sidecars = std::mem::take(&mut self.sidecars);
        stop_all(sidecars.into_values().collect());
        stop_all(std::mem::take(&mut self.stand_ins));
    }
}

fn stop_all(cells: Vec<Component>) {
    cells.iter().for_each(Component::request_stop);
    cells.into_iter().for_each(Component::stop);
}

async fn is_ready(client: &filberttrail_web::Client, admin: SocketAddr) -> bool {
    let request = hyper::Request::get("/ready").header("host", "entry");
    let Ok(request) = request.body(filberttrail_web::Body::empty()) else { return false };
    let answer = client.fetch(admin, request, Duration::from_secs(1), 4_096).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
