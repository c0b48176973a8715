//! A small deployment at half of the site's size: a model service that is one lock-step group of 8 ranks, a
//! plain service of 3 engines, a rebalancer beside each rank, and a gateway in each of 3 zones; with clients
//! that send at half of the sheet's rates.

use super::group::{self, Group, Observer};
use super::http;
use super::plain::Plain;
use super::store::Store;
use super::system::{self, Processes, Record};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RANKS: usize = 8;
const ZONES: [&str; 3] = ["north", "south", "east"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The sheet's rates for 16 engines, 75.6 streams and 9.48 plain requests a second, for half of these.
const STREAM_INTERVAL: Duration = Duration::from_micros(26_455);
const PLAIN_INTERVAL: Duration = Duration::from_micros(210_970);
/// `recoveryS` of the deployments.
pub const RECOVERY: Duration = Duration::from_secs(12);

pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-assist","host":"quay.example","pathPrefix":"/assist/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"assist","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":120},{"name":"r-control","host":"quay.example","pathPrefix":"/control/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"control","maxAttempts":1,"allowAnonymous":false}],"services":[{"name":"assist","healthPath":"/health","maxConnections":328,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":38.0,"engine":{"slots":12,"kvCacheTokens":494000,"linkMbps":92000.0,"stride":6,"models":[{"name":"m"}],"usual":{"prompt":835,"answer":159},"sets":6,"experts":64,"places":11,"spare":4,"expertMb":1700.0,"expertShare":0.85,"form_ms":600.0}},{"name":"control","healthPath":"/health","maxConnections":52,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// A machine with one process of the system.
struct Machine {
    name: String,
    arguments: Vec<String>,
    settings: PathBuf,
}

struct Sent {
    at: Instant,
    served: bool,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Store,
    pub processes: Arc<Processes>,
    pub group: Group,
    pub plain: Vec<Plain>,
    machines: Vec<Machine>,
    scratch: PathBuf,
    fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    sent: Arc<Mutex<Vec<Sent>>>,
    open: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts the engines, and prepares the machines of the system. Their loopback
    /// addresses depend on the process, so that two runs beside each other don't meet.
    pub fn new(
        label: &str,
        record: Arc<Record>,
        store: Store,
        processes: Arc<Processes>,
        observer: Observer,
    ) -> Self {
        let scratch = system::scratch(label);
        let net = 60 + (std::process::id() % 180) as u8;
        store.put("config", "main", CONFIGURATION);
        let ip = |host: usize| -> IpAddr { Ipv4Addr::new(127, 0, net, host as u8).into() };
        let engine_ips: Vec<IpAddr> = (0..RANKS).map(|rank| ip(10 + rank)).collect();
        let gateway_ips: Vec<IpAddr> = (0..ZONES.len()).map(|index| ip(100 + index)).collect();
        let all: Vec<IpAddr> = engine_ips.iter().chain(&gateway_ips).copied().collect();
        let port = system::common_port(&all, 0);
        let (ready_port, front_port) = (system::common_port(&all, 5), system::common_port(&all, 9));
        let zones: Vec<&str> = (0..RANKS).map(|rank| ZONES[rank % ZONES.len()]).collect();
        let group = Group::start("assist", &engine_ips, &zones, &store, observer);
        let plain = ZONES.iter().enumerate().map(|(index, zone)| {
            Plain::start(
                &format!("i-control{index}"),
                "control",
                zone,
                6,
                Duration::from_millis(15),
                &store,
            )
        });
        let plain = plain.collect();
        let mut machines = Vec::new();
        let mut add =
            |name: String, arguments: &[&str], class: &str, ip: IpAddr, zone: &str, own: String| {
                let text =
                    system::settings(&name, class, ip, zone, store.address, (port, port + 1), &own);
                let settings = scratch.join(format!("{name}.json"));
                std::fs::write(&settings, text).expect("a settings file");
                let arguments = arguments.iter().map(|argument| argument.to_string()).collect();
                machines.push(Machine { name, arguments, settings });
            };
        for (rank, ip) in engine_ips.iter().enumerate() {
            let own =
                format!(r#""listen":{{}},"app":"{}","service":"assist""#, group.addresses[rank]);
            add(format!("side-{rank}"), &["rebalancer"], "side", *ip, zones[rank], own);
        }
        for (index, ip) in gateway_ips.iter().enumerate() {
            let own =
                format!(r#""listen":{{"front":"{ip}:{front_port}","ready":"{ip}:{ready_port}"}}"#);
            let metrics = system::free_port(*ip).to_string();
            add(
                format!("front-{}-1", ZONES[index]),
                &["gateway", "--metrics-port", &metrics],
                "front",
                *ip,
                ZONES[index],
                own,
            );
        }
        let addresses =
            |port: u16| gateway_ips.iter().map(|ip| SocketAddr::new(*ip, port)).collect();
        let (fronts, ready) = (addresses(front_port), addresses(ready_port));
        let (sent, open, over) = Default::default();
        Self {
            record,
            store,
            processes,
            group,
            plain,
            machines,
            scratch,
            fronts,
            ready,
            sent,
            open,
            over,
        }
    }

    /// Starts the processes of all machines; `bootstrap` tells whether the whole system starts for the first
    /// time.
    pub fn start_all(&self, bootstrap: bool) {
        for machine in &self.machines {
            let text = std::fs::read_to_string(&machine.settings).expect("a settings file");
            let text = text.replace("\"bootstrap\":true", &format!("\"bootstrap\":{bootstrap}"));
            std::fs::write(&machine.settings, text).expect("a settings file");
            let arguments: Vec<&str> = machine.arguments.iter().map(String::as_str).collect();
            self.processes.start(&machine.name, &arguments, &machine.settings);
        }
    }

    /// Returns the readiness of each gateway: the status of its answer, 0 without one.
    pub fn readiness(&self) -> Vec<u16> {
        let ask = |address: &SocketAddr| {
            let head = format!("GET /filberttrail/readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
            http::call(*address, &head, b"", Duration::from_secs(1)).status
        };
        self.ready.iter().map(ask).collect()
    }

    /// Ends the case, which cannot run.
    pub fn give_up(&self, text: &str) -> ! {
        self.record.say(format!("{text}: the case could not run"));
        self.clean_up();
        std::process::exit(2);
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while self.readiness().iter().any(|status| *status != 200) {
            if Instant::now() >= until {
                self.give_up("the gateways did not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all gateways are ready");
    }

    /// Sends requests at fixed rates, whatever became of those before.
    pub fn start_clients(&self) {
        let numbers = Arc::new(AtomicU64::new(1));
        for (streams, interval) in [(true, STREAM_INTERVAL), (false, PLAIN_INTERVAL)] {
            let (over, sent, numbers, record) =
                (self.over.clone(), self.sent.clone(), numbers.clone(), self.record.clone());
            let (fronts, open) = (self.fronts.clone(), self.open.clone());
            thread::spawn(move || {
                let began = Instant::now();
                for turn in 0u32.. {
                    sleep_until(began + interval * turn);
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let (sent, numbers, record) = (sent.clone(), numbers.clone(), record.clone());
                    let (fronts, open) = (fronts.clone(), open.clone());
                    open.fetch_add(1, Ordering::SeqCst);
                    thread::spawn(move || {
                        let at = Instant::now();
                        let served = request(turn as usize, streams, &fronts, &numbers, &record);
                        sent.lock().unwrap().push(Sent { at, served });
                        open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
    }

    /// Sends no further requests, and waits for the answers.
    pub fn stop_clients(&self) {
        self.over.store(true, Ordering::SeqCst);
        while self.open.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the number of requests that were sent in a span, and the share of them that was served.
    pub fn share(&self, from: Instant, until: Instant) -> (usize, f64) {
        let sent = self.sent.lock().unwrap();
        let judged: Vec<&Sent> =
            sent.iter().filter(|request| request.at >= from && request.at < until).collect();
        let served = judged.iter().filter(|request| request.served).count();
        (judged.len(), served as f64 / judged.len().max(1) as f64)
    }

    /// Judges RECOVER, where the calm traffic began and the final fault struck at these times, and the machines
    /// were back at another; the requests of a further span are judged. Ends the case.
    pub fn judge_recovery(
        &self,
        calm_from: Instant,
        struck_at: Instant,
        back_at: Instant,
        judged: Duration,
    ) -> ! {
        let ended = self.processes.take_ended();
        self.clean_up();
        let before =
            self.share(calm_from + Duration::from_secs(1), struck_at - Duration::from_secs(1));
        let after = self.share(back_at + RECOVERY, back_at + RECOVERY + judged);
        let say = |text: String| self.record.say(text);
        say(format!("before the fault: {} requests, {:.3} served", before.0, before.1));
        say(format!(
            "later than {} s after the machines are back: {} requests, {:.3} served",
            RECOVERY.as_secs(),
            after.0,
            after.1
        ));
        say(format!(
            "the group's last pass, switches and hold: {:?}; mixed maps: {:?}; ended by themselves: {ended:?}",
            self.group.progress(),
            self.group.mixed()
        ));
        if before.1 < 0.25 || before.0 < 20 || after.0 < 20 {
            self.give_up("too little was sent or served before the fault");
        }
        let broken = after.1 < 0.25;
        say((if broken { "RECOVER is broken" } else { "RECOVER holds" }).to_string());
        std::process::exit(i32::from(broken));
    }

    fn clean_up(&self) {
        self.processes.kill_all();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.scratch);
        }
    }
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends a request, and once more to the next gateway if it may; returns whether it was served.
fn request(
    turn: usize,
    streams: bool,
    fronts: &[SocketAddr],
    numbers: &AtomicU64,
    record: &Record,
) -> bool {
    let deadline = Duration::from_millis(if streams { 8_000 } else { 1_500 });
    let began = Instant::now();
    for attempt in 0..2 {
        let id = format!(
            "{:016x}",
            numbers.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let left = deadline.saturating_sub(began.elapsed());
        if left < Duration::from_millis(50) {
            return false;
        }
        let path = if streams { "/assist/2f" } else { "/control/2f" };
        let model = format!(
            "Model: m\r\nToken-Usage: 714,156\r\nPrompt-Prefix: {:08x}:40,{}:674\r\n",
            0x5c1e_0000 + turn % 60,
            &id[8..]
        );
        let body = format!("request {id}");
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: quay.example\r\nRequest-Id: {id}\r\n{}Request-Deadline: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
            if streams { model.as_str() } else { "" },
            left.as_millis(),
            body.len()
        );
        let front = fronts[(turn + attempt) % fronts.len()];
        let answer = http::call(front, &head, body.as_bytes(), left);
        let text = String::from_utf8_lossy(&answer.body);
        let whole = if streams {
            text.contains(&format!("id: {}\n", group::EVENTS))
        } else {
            text == format!("done {id}")
        };
        let served = answer.status == 200 && answer.complete && whole;
        record.line(format!(
            "{path} {id} attempt {attempt} to {front}: status {} complete {} in {} ms{}",
            answer.status,
            answer.complete,
            answer.took.as_millis(),
            if served { "" } else { " (not served)" }
        ));
        if served {
            return true;
        }
        if answer.status != 503 && answer.status != 0 {
            return false;
        }
        let pause =
            answer.header("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.1);
        thread::sleep(Duration::from_secs_f64(pause.clamp(0.0, left.as_secs_f64() / 3.0)));
    }
    false
}
