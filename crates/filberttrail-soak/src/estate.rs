//! The processes, stand-ins and links of a soak, and what is done to them.

use crate::evidence::{Evidence, Key, LEAVE_SHOWN, Leave, Out, Run, Span, Stop, Touched};
use crate::fault::{Ailment, Fault, Harm, Path};
use crate::gateway::Gateway;
use crate::place::Place;
use crate::plan::Size;
use crate::run::Settings;
use crate::verdict::Bounds;
use filberttrail_kernel::{Error, Result};
use filberttrail_platform::store::{CONFIGURATION, CONFIGURATION_NAME, OUTS, UPSTREAMS};
use filberttrail_platform_stand_in::store::Mode;
use filberttrail_platform_stand_in::{Script, Store, caller};
use filberttrail_test_support::process::ProcessSignal;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 2] = ["noord", "zuid"];
/// The service behind all routes.
pub const SERVICE: &str = "desk";
/// How long a stop may take.
pub const GRACE: Duration = Duration::from_secs(8);
/// Pause before a process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// How long all gateways may take to be ready at first: a store's answer and a start, on a busy machine.
const START_WAIT: Duration = Duration::from_secs(30);
/// How long the question whether a gateway is ready may take, and bytes of its answer.
const READY_WAIT: Duration = Duration::from_secs(1);
const READY_LIMIT: usize = 1_024;
/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How long an upstream usually works on an answer, or on an event of a stream.
pub const WORK: Duration = Duration::from_millis(15);
/// The same while it is slow.
const SLOW_WORK: Duration = Duration::from_millis(600);
/// How long callers have a new key before the former one is revoked.
const KEY_OVERLAP: Duration = Duration::from_millis(1_200);
/// How long an upstream misbehaves at most.
const MISBEHAVIOUR: Duration = Duration::from_millis(2_500);
/// How upstreams misbehave.
const SCRIPTS: [Script; 9] = [
    Script::Refuse,
    Script::Shed,
    Script::Fail,
    Script::MismatchedId,
    Script::Unsigned,
    Script::Close,
    Script::BreakAfter(2),
    Script::Silent,
    Script::Duplicate,
];

/// Returns the data centre of an upstream or a gateway.
pub fn data_centre(place: usize) -> usize {
    place % DATA_CENTRES.len()
}

/// An estate under soak.
pub struct Estate {
    settings: Settings,
    began: Instant,
    store: Store,
    /// Its gateways.
    pub gateways: Vec<Gateway>,
    places: Vec<tokio::sync::Mutex<Place>>,
    outs: Vec<tokio::sync::Mutex<()>>,
    changing_keys: tokio::sync::Mutex<u64>,
    evidence: Mutex<Evidence>,
    /// The key that callers use.
    pub key: AtomicUsize,
    ending: AtomicBool,
}

/// Returns the text of a key.
pub fn key_text(number: usize) -> String {
    format!("key-of-callers-{number:04}")
}

fn fault(what: &str, fault: impl ToString) -> Error {
    Error::system(what, fault, "free ports, memory or disk space, and start again")
}

impl Estate {
    /// Starts an estate and waits until its gateways take callers.
    pub async fn start(settings: Settings, size: Size, bounds: &Bounds) -> Result<Arc<Self>> {
        let directory = settings.directory.clone();
        std::fs::create_dir_all(&directory).map_err(|wrong| fault("folder", wrong))?;
        let store = Store::start().await;
        let mut gateways = Vec::new();
        for place in 0..size.gateways {
            let started = Gateway::new(&settings, place, store.address, bounds.retries).await;
            gateways.push(started.map_err(|wrong| fault("gateway", wrong))?);
        }
        let mut places = Vec::new();
        for index in 0..size.upstreams {
            let place = Place::new(index).await.map_err(|wrong| fault("link", wrong))?;
            place.register(&store, "ready");
            places.push(tokio::sync::Mutex::new(place));
        }
        store.write(CONFIGURATION, CONFIGURATION_NAME, caller::configuration(1, &[&key_text(0)]));
        let first_key = Key { added: Duration::ZERO, revoked: None };
        let evidence = Evidence { keys: vec![first_key], ..Evidence::default() };
        let estate = Arc::new(Self {
            settings,
            began: Instant::now(),
            store,
            gateways,
            places,
            outs: DATA_CENTRES.iter().map(|_| tokio::sync::Mutex::new(())).collect(),
            changing_keys: tokio::sync::Mutex::new(1),
            evidence: Mutex::new(evidence),
            key: AtomicUsize::new(0),
            ending: AtomicBool::new(false),
        });
        for place in 0..size.gateways {
            tokio::spawn(estate.clone().keep(place));
        }
        estate.wait_until_ready().await?;
        Ok(estate)
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the evidence so far.
    pub fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let client = filberttrail_web::Client::new();
        let path = filberttrail_platform::settings::READINESS_PATH;
        for gateway in &self.gateways {
            loop {
                let asked = client.call(
                    gateway.ready,
                    hyper::Method::GET,
                    path,
                    Vec::new(),
                    READY_WAIT,
                    READY_LIMIT,
                );
                if asked.await.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                if self.now() > START_WAIT {
                    let help = "see its log in the run's folder";
                    return Err(Error::system("gateway", "it is not ready", help).into());
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Starts a gateway's process again whenever it has ended.
    async fn keep(self: Arc<Self>, place: usize) {
        let gateway = &self.gateways[place];
        while !self.ending.load(Ordering::Relaxed) {
            let life = gateway.life.fetch_add(1, Ordering::Relaxed) + 1;
            gateway.asked.store(false, Ordering::Relaxed);
            match gateway.spawn(&self.settings, life) {
                Ok(()) => {}
                Err(wrong) => {
                    self.evidence().own_ends.push(format!("gateway {place}: {wrong}"));
                    return;
                }
            }
            // A restart counts as a disturbance of its own.
            let now = self.now();
            let touched = Touched::Gateway(place);
            self.evidence().spans.push(Span { from: now, to: now, touched, planned: false });
            let status = loop {
                if let Some(status) = gateway.ended() {
                    break status;
                }
                tokio::time::sleep(LOOK).await;
            };
            if !gateway.asked.load(Ordering::Relaxed) {
                let end = format!("gateway {place}, process {life}, ended by itself: {status}");
                self.evidence().own_ends.push(end);
            }
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    }

    /// Brings a fault about, and sees it to its end.
    pub async fn act(self: Arc<Self>, fault: Fault) {
        let from = self.now();
        let touched = match fault {
            Fault::Kill(place) => {
                self.gateways[place].asked.store(true, Ordering::Relaxed);
                self.gateways[place].signal(ProcessSignal::SIGKILL);
                Some(Touched::Gateway(place))
            }
            Fault::Freeze(place, lasting) => {
                self.gateways[place].signal(ProcessSignal::SIGSTOP);
                tokio::time::sleep(lasting).await;
                self.gateways[place].signal(ProcessSignal::SIGCONT);
                Some(Touched::Gateway(place))
            }
            Fault::Stop(place) => {
                let life = self.gateways[place].life.load(Ordering::Relaxed);
                self.gateways[place].asked.store(true, Ordering::Relaxed);
                self.gateways[place].signal(ProcessSignal::SIGTERM);
                self.evidence().stops.push(Stop { gateway: place, life, at: from });
                None
            }
            Fault::Reload(place) => {
                self.gateways[place].signal(ProcessSignal::SIGHUP);
                None
            }
            Fault::Link(path, harm, lasting) => Some(self.harm(path, harm, lasting).await),
            Fault::Store(ailment, lasting) => {
                self.ail(ailment, lasting).await;
                Some(Touched::Store)
            }
            Fault::Misbehave(place, times) => {
                self.misbehave(place, times).await;
                Some(Touched::Upstream(place))
            }
            Fault::Slow(place, lasting) => {
                let upstream = self.places[place].lock().await.upstream.clone();
                upstream.set_delay(SLOW_WORK);
                tokio::time::sleep(lasting).await;
                upstream.set_delay(WORK);
                Some(Touched::Upstream(place))
            }
            Fault::End(place, lasting) => {
                self.replace(place, false, lasting).await;
                Some(Touched::Upstream(place))
            }
            Fault::Leave(place) => {
                self.replace(place, true, LEAVE_SHOWN).await;
                None
            }
            Fault::ReplaceKey => {
                self.replace_key().await;
                None
            }
            Fault::Out(data_centre, lasting) => {
                self.take_out(data_centre, lasting).await;
                None
            }
        };
        let to = self.now();
        if let Some(touched) = touched {
            self.evidence().spans.push(Span { from, to, touched, planned: fault.is_planned() });
        }
    }

    async fn harm(&self, path: Path, harm: Harm, lasting: Duration) -> Touched {
        let (link, touched) = match path {
            Path::Callers(place) => (self.gateways[place].front.clone(), Touched::Gateway(place)),
            Path::Store(place) => (self.gateways[place].store.clone(), Touched::Gateway(place)),
            Path::Upstream(place) => {
                (self.places[place].lock().await.link.clone(), Touched::Upstream(place))
            }
        };
        link.harm(harm);
        tokio::time::sleep(lasting).await;
        link.mend();
        touched
    }

    async fn ail(&self, ailment: Ailment, lasting: Duration) {
        match ailment {
            Ailment::Unavailable => self.store.set_mode(Mode::Unavailable),
            Ailment::LosesAnswers => self.store.set_mode(Mode::LoseResponses),
            Ailment::Forgets => return self.store.discard_history(),
        }
        tokio::time::sleep(lasting).await;
        self.store.set_mode(Mode::Healthy);
    }

    async fn misbehave(&self, place: usize, times: usize) {
        let upstream = self.places[place].lock().await.upstream.clone();
        let scripts: Vec<Script> = (0..times).filter_map(|_| fastrand::choice(SCRIPTS)).collect();
        upstream.script(&scripts);
        // An upstream that fails gets few requests: what it has not met by then would outlast the plan.
        let until = self.now() + MISBEHAVIOUR;
        while upstream.pending_scripts() > 0 && self.now() < until {
            tokio::time::sleep(LOOK).await;
        }
        upstream.clear_scripts();
    }

    /// Has another upstream take the place and the address of one that ends.
    async fn replace(&self, index: usize, notice: bool, lasting: Duration) {
        // One that is being replaced is left alone.
        let Ok(mut place) = self.places[index].try_lock() else { return };
        if notice {
            place.register(&self.store, "draining");
            let leave = Leave { instance: place.upstream.id.clone(), at: self.now() };
            self.evidence().leaves.push(leave);
        } else {
            place.upstream.stop();
        }
        tokio::time::sleep(lasting).await;
        self.store.remove(UPSTREAMS, &place.upstream.id);
        place.upstream.stop();
        place.replace().await;
        place.register(&self.store, "ready");
    }

    async fn replace_key(&self) {
        let mut version = self.changing_keys.lock().await;
        let former = self.key.load(Ordering::Relaxed);
        let (old, new) = (key_text(former), key_text(former + 1));
        *version += 1;
        self.store.write(
            CONFIGURATION,
            CONFIGURATION_NAME,
            caller::configuration(*version, &[&old, &new]),
        );
        let added = self.now();
        self.evidence().keys.push(Key { added, revoked: None });
        tokio::time::sleep(KEY_OVERLAP).await;
        self.key.store(former + 1, Ordering::Relaxed);
        *version += 1;
        self.store.write(
            CONFIGURATION,
            CONFIGURATION_NAME,
            caller::configuration(*version, &[&new]),
        );
        let revoked = self.now();
        self.evidence().keys[former].revoked = Some(revoked);
    }

    async fn take_out(&self, data_centre: usize, lasting: Duration) {
        let Ok(_out) = self.outs[data_centre].try_lock() else { return };
        self.store.write(OUTS, DATA_CENTRES[data_centre], json!({}));
        let out = Out { data_centre, from: self.now(), to: Duration::MAX };
        let number = {
            let mut evidence = self.evidence();
            evidence.outs.push(out);
            evidence.outs.len() - 1
        };
        tokio::time::sleep(lasting).await;
        self.evidence().outs[number].to = self.now();
        self.store.remove(OUTS, DATA_CENTRES[data_centre]);
    }

    /// Ends all processes, and returns the evidence.
    pub async fn end(&self) -> Evidence {
        self.ending.store(true, Ordering::Relaxed);
        for gateway in &self.gateways {
            gateway.asked.store(true, Ordering::Relaxed);
            gateway.signal(ProcessSignal::SIGCONT);
            gateway.signal(ProcessSignal::SIGKILL);
        }
        let mut evidence = std::mem::take(&mut *self.evidence());
        for (index, place) in self.places.iter().enumerate() {
            for upstream in &place.lock().await.all {
                for run in upstream.runs() {
                    let at =
                        run.received_at.map(|at| at.duration_since(self.began)).unwrap_or_default();
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
