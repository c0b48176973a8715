//! A day on which a part of prompts crashes each engine that begins to write on it, and the judge of LOST on it.

use super::group::Group;
use super::http;
use super::store::Store;
use super::system::Record;
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of ranks of the one group that is the model service.
pub const RANKS: usize = 12;
pub const ZONES: [&str; 3] = ["north", "south", "east"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The first part of the prompts of the calm requests.
const CALM_PART: &str = "7700aa01";
/// The harmful part.
pub const HARMFUL: &str = "91bd3f06";
/// The sheet's rate for 12 engines is 56 streams a second, of which a quarter are sound ones here.
pub const SOUND_INTERVAL: Duration = Duration::from_micros(71_429);
const CALM: Duration = Duration::from_secs(6);
/// Time until a crashed engine is back.
pub const BACK_AFTER: Duration = Duration::from_secs(5);
/// `stabilityWindowMs` of the deployments.
pub const STABILITY: Duration = Duration::from_millis(3_000);
/// Time from the first harmful request to the end.
const HARM: Duration = Duration::from_secs(45);

pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-pool","host":"court.example","pathPrefix":"/pool/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"lm-pool","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":120}],"services":[{"name":"lm-pool","healthPath":"/health","maxConnections":298,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":38.0,"engine":{"slots":12,"kvCacheTokens":372000,"linkMbps":92000.0,"stride":5,"models":[{"name":"m"}],"usual":{"prompt":835,"answer":140},"sets":6,"experts":64,"places":11,"spare":4,"expertMb":1700.0,"expertShare":0.85,"form_ms":600.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub struct Sent {
    pub id: String,
    pub at: Instant,
}

/// What the clients of one deployment share.
#[derive(Default)]
pub struct Traffic {
    pub over: AtomicBool,
    pub harm: AtomicBool,
    numbers: AtomicU64,
    pub open: AtomicU64,
    /// The first attempts of sound requests.
    pub sound: Mutex<Vec<Sent>>,
}

pub struct Day {
    /// Name of the deployment in the record.
    pub label: String,
    /// The first part of all prompts once the harmful ones come.
    pub shared: &'static str,
    pub harmful_interval: Duration,
    /// Whether the harmful part comes.
    pub harms: bool,
}

impl Day {
    /// Plays the day at gateways that are ready. Returns whether LOST was broken; `None` if too little was sent
    /// or nothing crashed.
    pub fn play(
        &self,
        group: &Group,
        fronts: &[SocketAddr],
        store: &Store,
        record: &Arc<Record>,
    ) -> Option<bool> {
        let say = |text: String| record.say(format!("{}{text}", self.label));
        let traffic = Arc::new(Traffic::default());
        let calm_from = Instant::now();
        self.send(false, SOUND_INTERVAL, &traffic, fronts, record);
        thread::sleep(CALM);
        let harm_from = Instant::now();
        traffic.harm.store(true, Ordering::SeqCst);
        if self.harms {
            group.set_harmful(HARMFUL, BACK_AFTER);
            self.send(true, self.harmful_interval, &traffic, fronts, record);
        }
        thread::sleep(HARM);
        let harm_until = Instant::now();
        traffic.over.store(true, Ordering::SeqCst);
        while traffic.open.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
        let crashes = group.crashes();
        for (at, rank) in &crashes {
            let after = at.duration_since(harm_from).as_secs_f64();
            say(format!("rank {rank} crashed {after:.1} s after the first harmful request"));
        }
        // The fifth crash, or the last if there are fewer.
        let counted = crashes.get(4).or(crashes.last()).map_or(harm_from, |(at, _)| *at);
        let judged_from = counted + 2 * STABILITY;
        let begun: HashSet<String> = group.begun().into_iter().map(|(id, _)| id).collect();
        let sound = traffic.sound.lock().ok()?;
        let share = |from: Instant, until: Instant| {
            let judged: Vec<&Sent> =
                sound.iter().filter(|sent| sent.at >= from && sent.at < until).collect();
            let served = judged.iter().filter(|sent| begun.contains(&sent.id)).count();
            (judged.len(), served as f64 / judged.len().max(1) as f64)
        };
        let second = Duration::from_secs(1);
        let before = share(calm_from + second, harm_from - second);
        let after = share(judged_from, harm_until - second);
        let span = harm_until.duration_since(judged_from).as_secs_f64();
        say(format!(
            "calm: {} sound requests with the key, {:.3} begun at the first attempt",
            before.0, before.1
        ));
        say(format!(
            "from 6 s after the counted crash, for {span:.0} s: {} sound requests, {:.3} begun at the first attempt",
            after.0, after.1
        ));
        say(format!("condemned in the store: {:?}", store.names("filberttrail-condemned")));
        let enough = before.0 >= 20
            && after.0 >= 20
            && before.1 > 0.0
            && (!self.harms || !crashes.is_empty());
        enough.then_some(after.1 < before.1 / 2.0)
    }

    /// Sends requests at a fixed rate, whatever became of those before.
    pub fn send(
        &self,
        harmful: bool,
        interval: Duration,
        traffic: &Arc<Traffic>,
        fronts: &[SocketAddr],
        record: &Arc<Record>,
    ) {
        let (shared, traffic, record) = (self.shared, traffic.clone(), record.clone());
        let fronts: Arc<[SocketAddr]> = fronts.into();
        thread::spawn(move || {
            let began = Instant::now();
            for turn in 0u32.. {
                thread::sleep((began + interval * turn).saturating_duration_since(Instant::now()));
                if traffic.over.load(Ordering::SeqCst) {
                    return;
                }
                let (traffic, fronts, record) = (traffic.clone(), fronts.clone(), record.clone());
                traffic.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    request(harmful, shared, &fronts, &traffic, &record);
                    traffic.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }
}

/// Waits until the gateways at these addresses are ready; returns whether they are.
pub fn wait_until_ready(ips: &[IpAddr], port: u16) -> bool {
    let is_ready = |ip: &IpAddr| {
        let head = format!("GET /filberttrail/readiness HTTP/1.1\r\nHost: {ip}\r\n\r\n");
        let address = SocketAddr::new(*ip, port);
        http::call(address, &head, b"", Duration::from_secs(1)).status == 200
    };
    let until = Instant::now() + Duration::from_secs(15);
    while !ips.iter().all(is_ready) {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Sends a request, and once more to another gateway if it fails.
fn request(harmful: bool, shared: &str, fronts: &[SocketAddr], traffic: &Traffic, record: &Record) {
    let deadline = Duration::from_millis(8_000);
    let began = Instant::now();
    let first = if traffic.harm.load(Ordering::SeqCst) { shared } else { CALM_PART };
    for attempt in 0..2 {
        let number = traffic.numbers.fetch_add(1, Ordering::SeqCst) + 1;
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = format!("{spread:016x}");
        let left = deadline.saturating_sub(began.elapsed());
        if left < Duration::from_millis(100) {
            return;
        }
        if !harmful
            && attempt == 0
            && let Ok(mut sound) = traffic.sound.lock()
        {
            sound.push(Sent { id: id.clone(), at: Instant::now() });
        }
        let part = if harmful { format!("{HARMFUL}:410,") } else { String::new() };
        let body = format!("request {id}");
        let head = format!(
            "POST /pool/2f HTTP/1.1\r\nHost: court.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 714,140\r\nPrompt-Prefix: {first}:40,{part}{}:674\r\nRequest-Deadline: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
            &id[8..],
            left.as_millis(),
            body.len()
        );
        let front = fronts[(spread >> 33) as usize % fronts.len()];
        let answer = http::call(front, &head, body.as_bytes(), left);
        let kind = if harmful { "harmful" } else { "sound" };
        let detail = String::from_utf8_lossy(&answer.body).chars().take(120).collect::<String>();
        let detail = if answer.status >= 400 { detail } else { String::new() };
        record.line(format!(
            "{kind} {first} {id} attempt {attempt} to {front}: status {} complete {} {detail}",
            answer.status, answer.complete
        ));
        if answer.status == 200 && answer.complete {
            return;
        }
        let pause = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        let pause = pause.unwrap_or(0.1).clamp(0.0, left.as_secs_f64() / 3.0);
        thread::sleep(Duration::from_secs_f64(pause));
    }
}
