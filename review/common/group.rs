//! Stand-in of a lock-step group of model engines: passes, expert maps, orders and streams.

use super::http::{self, Request, Wire};
use super::json::Json;
use super::store::Store;
use std::io::Write;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SETS: usize = 6;
pub const EXPERTS: usize = 64;
pub const PLACES: usize = 11;
pub const SPARE: usize = 4;
pub const SLOTS: usize = 12;
pub const EVENTS: u64 = 26;
/// Time in which a rank copies one expert: 1,700 MB over 92,000 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(148);
/// Time of one pass with writers.
const PASS_TIME: Duration = Duration::from_millis(30);
/// Time for which the ranks stall after one has crashed, before they fail their requests.
const STALL: Duration = Duration::from_millis(1_500);
/// Time in which a group opens again once its ranks are back.
const FORM: Duration = Duration::from_millis(600);
/// Time without a heartbeat after which an entry is removed.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Heartbeat interval.
const BEAT: Duration = Duration::from_millis(1_200);

type Lists = Vec<Vec<u32>>;

#[derive(Default)]
struct Rank {
    active: usize,
    map: u64,
    lists: Lists,
    prepared: Option<(u64, Lists, Instant)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    orders: u64,
    born: u64,
    /// Since when the engine is down.
    down: Option<Instant>,
    streams: Vec<TcpStream>,
}

struct State {
    step: u64,
    epoch: u64,
    /// Since when the group is broken.
    broken: Option<Instant>,
    /// The part of a prompt that crashes an engine which begins to write on it, and the time until the
    /// engine is back.
    harmful: Option<(String, Duration)>,
    /// Times at which requests with that part were taken.
    harmful_arrivals: Vec<Instant>,
    /// Times and ranks of the crashes.
    crashes: Vec<(Instant, usize)>,
    /// Ids of the requests on which an engine has begun to write, with the time.
    begun: Vec<(String, Instant)>,
    ranks: Vec<Rank>,
    /// Rank of map 0 whose experts get most tokens, if one does.
    hot: Option<usize>,
    /// The first pass that began with different maps.
    mixed: Option<String>,
    switches: u64,
}

/// Called after an order was accepted and before it is answered, with the rank and the order.
pub type Observer = Box<dyn Fn(usize, &str) + Send + Sync>;

#[derive(Clone)]
pub struct Group {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub addresses: Vec<SocketAddr>,
    pub service: String,
    /// Name of an engine that is in no group.
    single: Option<String>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Rank {
    /// A rank of a new epoch: map 0, and nothing prepared, armed or held.
    fn reset(&mut self, rank: usize, size: usize) {
        let experts: Vec<u32> =
            (0..EXPERTS as u32).filter(|expert| *expert as usize % size == rank).collect();
        self.lists = vec![experts; SETS];
        (self.map, self.highest) = (0, 0);
        (self.prepared, self.armed, self.held) = (None, None, None);
        if self.counts.is_empty() {
            self.counts = vec![0; SETS * EXPERTS];
        }
    }
}

impl Group {
    /// Starts the engines, one at each IP address, their heartbeats and the passes.
    pub fn start(
        service: &str,
        ips: &[IpAddr],
        zones: &[&str],
        store: &Store,
        observer: Observer,
    ) -> Self {
        Self::launch(None, service, ips, zones, store, observer)
    }

    /// Starts an engine that is in no group.
    pub fn start_single(name: &str, service: &str, ip: IpAddr, zone: &str, store: &Store) -> Self {
        Self::launch(Some(name.to_string()), service, &[ip], &[zone], store, Box::new(|_, _| {}))
    }

    fn launch(
        single: Option<String>,
        service: &str,
        ips: &[IpAddr],
        zones: &[&str],
        store: &Store,
        observer: Observer,
    ) -> Self {
        let size = ips.len();
        let new_rank = |rank: usize| {
            let mut new = Rank { born: unix_ms(), ..Rank::default() };
            new.reset(rank, size);
            new
        };
        let ranks = (0..size).map(new_rank).collect();
        let state = State {
            step: 0,
            epoch: 1,
            broken: None,
            harmful: None,
            harmful_arrivals: Vec::new(),
            crashes: Vec::new(),
            begun: Vec::new(),
            ranks,
            hot: None,
            mixed: None,
            switches: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let listeners: Vec<TcpListener> = ips
            .iter()
            .map(|ip| TcpListener::bind(SocketAddr::new(*ip, 0)).expect("a free port"))
            .collect();
        let addresses =
            listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect();
        let group = Self { shared, addresses, service: service.to_string(), single };
        let observer = Arc::new(observer);
        for (rank, listener) in listeners.into_iter().enumerate() {
            let (group, observer) = (group.clone(), observer.clone());
            thread::spawn(move || group.listen(rank, listener, &observer));
        }
        let beating = group.clone();
        let zones: Vec<String> = zones.iter().map(|zone| zone.to_string()).collect();
        let store = store.clone();
        thread::spawn(move || beating.beat(&zones, &store));
        let passing = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(PASS_TIME);
                passing.pass();
            }
        });
        group
    }

    pub fn id(&self, rank: usize) -> String {
        self.single.clone().unwrap_or_else(|| format!("i-rank{rank}"))
    }

    /// Makes the experts of one rank popular.
    pub fn shift(&self, hot: usize) {
        self.shared.0.lock().unwrap().hot = Some(hot);
    }

    pub fn mixed(&self) -> Option<String> {
        self.shared.0.lock().unwrap().mixed.clone()
    }

    /// Returns the last pass that began, the switches so far, and the rank and pass of a hold.
    pub fn progress(&self) -> (u64, u64, Option<(usize, u64)>) {
        let state = self.shared.0.lock().unwrap();
        let held =
            state.ranks.iter().enumerate().find_map(|(rank, known)| Some((rank, known.held?)));
        (state.step, state.switches, held)
    }

    /// Lets a part of prompts, unless it is the last, crash each engine that begins to write an answer on it.
    pub fn set_harmful(&self, part: &str, back_after: Duration) {
        self.shared.0.lock().unwrap().harmful = Some((part.to_string(), back_after));
    }

    /// Returns the times at which requests with the harmful part were taken.
    pub fn harmful_arrivals(&self) -> Vec<Instant> {
        self.shared.0.lock().unwrap().harmful_arrivals.clone()
    }

    pub fn crashes(&self) -> Vec<(Instant, usize)> {
        self.shared.0.lock().unwrap().crashes.clone()
    }

    /// Returns the ids of the requests on which an engine has begun to write, with the times.
    pub fn begun(&self) -> Vec<(String, Instant)> {
        self.shared.0.lock().unwrap().begun.clone()
    }

    /// Accepts connections while the engine is up, and listens again when it is back.
    fn listen(&self, rank: usize, listener: TcpListener, observer: &Arc<Observer>) {
        let mut listener = Some(listener);
        loop {
            let down = self.shared.0.lock().unwrap().ranks[rank].down.is_some();
            match (&listener, down) {
                (Some(_), true) => listener = None,
                (None, false) => listener = TcpListener::bind(self.addresses[rank]).ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(kept) = stream.try_clone() {
                let mut state = self.shared.0.lock().unwrap();
                let own = &mut state.ranks[rank];
                if own.streams.len() > 500 {
                    own.streams.retain(|stream| stream.peer_addr().is_ok());
                }
                own.streams.push(kept);
            }
            let (group, observer) = (self.clone(), observer.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.request() {
                    if !group.handle(rank, &request, &mut wire, &observer) {
                        break;
                    }
                }
                let _ = wire.stream.shutdown(Shutdown::Both);
            });
        }
    }

    /// Writes the entries of the engines that are up, at intervals and when the group breaks or opens, and
    /// removes those of engines that have been down for long.
    fn beat(&self, zones: &[String], store: &Store) {
        let mut seen = (0, false);
        for sequence in 1u64.. {
            for rank in 0..self.addresses.len() {
                let down = self.shared.0.lock().unwrap().ranks[rank].down;
                match down {
                    None => store.put(
                        "servers",
                        &self.id(rank),
                        &self.entry(rank, &zones[rank], sequence),
                    ),
                    Some(since) if since.elapsed() > LAPSE => {
                        store.remove("servers", &self.id(rank))
                    }
                    Some(_) => {}
                }
            }
            let until = Instant::now() + BEAT;
            while Instant::now() < until {
                let state = self.shared.0.lock().unwrap();
                let now = (state.epoch, state.broken.is_some());
                drop(state);
                if std::mem::replace(&mut seen, now) != now {
                    break;
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Ends an engine: its connections and its listener close, its group is broken, and it is back after a
    /// time.
    fn crash(&self, rank: usize, back_after: Duration) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        if state.ranks[rank].down.is_some() {
            return;
        }
        let now = Instant::now();
        state.crashes.push((now, rank));
        state.broken = Some(now);
        let own = &mut state.ranks[rank];
        own.down = Some(now);
        for stream in own.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        changed.notify_all();
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(back_after);
            let (lock, changed) = &*group.shared;
            let mut state = lock.lock().unwrap();
            state.ranks[rank].down = None;
            state.ranks[rank].born = unix_ms();
            drop(state);
            thread::sleep(FORM);
            let mut state = lock.lock().unwrap();
            if state.broken.is_some() && state.ranks.iter().all(|rank| rank.down.is_none()) {
                state.broken = None;
                state.epoch += 1;
                let size = state.ranks.len();
                for (rank, own) in state.ranks.iter_mut().enumerate() {
                    own.reset(rank, size);
                }
            }
            drop(state);
            changed.notify_all();
        });
    }

    fn group_json(state: &State, rank: usize) -> String {
        let open = if state.broken.is_some() { "broken" } else { "open" };
        format!(r#"{{"name":"g0","epoch":{},"rank":{rank},"state":"{open}"}}"#, state.epoch)
    }

    fn entry(&self, rank: usize, zone: &str, sequence: u64) -> String {
        let state = self.shared.0.lock().unwrap();
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}{}}}"#,
            self.service,
            self.addresses[rank],
            state.ranks[rank].born,
            match &self.single {
                Some(_) => String::new(),
                None => {
                    let size = self.addresses.len();
                    format!(r#","group":{},"size":{size}"#, Self::group_json(&state, rank))
                }
            }
        )
    }

    /// Begins the next pass, unless the group is idle or held before it.
    fn pass(&self) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let next = state.step + 1;
        if state.broken.is_some() {
            return;
        }
        if state.ranks.iter().all(|rank| rank.active == 0)
            || state.ranks.iter().any(|rank| rank.held == Some(next))
        {
            return;
        }
        state.step = next;
        let hot = state.hot;
        let size = state.ranks.len();
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next) {
                rank.map = version;
                rank.armed = None;
                rank.lists = rank.prepared.take().map(|(_, lists, _)| lists).unwrap_or_default();
            }
            for (index, count) in rank.counts.iter_mut().enumerate() {
                let weight =
                    if hot.is_some_and(|hot| index % EXPERTS % size == hot) { 40 } else { 4 };
                *count += rank.active as u64 * weight;
            }
        }
        let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.map).collect();
        if versions.iter().any(|version| *version != versions[0]) && state.mixed.is_none() {
            state.mixed = Some(format!("pass {next} begins with maps {versions:?}"));
        }
        drop(state);
        changed.notify_all();
    }

    fn handle(&self, rank: usize, request: &Request, wire: &mut Wire, observer: &Observer) -> bool {
        let json = [("Content-Type", "application/json")];
        match (request.method.as_str(), request.path()) {
            ("GET", "/filberttrail/report") => {
                let text = self.report(rank);
                http::respond(wire, 200, &json, &text)
            }
            ("GET", "/filberttrail/picked") => {
                let text = self.picked(rank, request.query("lists").is_some());
                http::respond(wire, 200, &json, &text)
            }
            ("POST", "/filberttrail/order") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let order = Json::parse(&body).unwrap_or(Json::Null);
                let status = self.order(rank, &order);
                if status == 202 {
                    observer(rank, order.get("operation").text());
                }
                http::respond(wire, status, &json, "{}")
            }
            _ => self.stream(rank, request, wire),
        }
    }

    fn report(&self, rank: usize) -> String {
        let state = self.shared.0.lock().unwrap();
        let own = &state.ranks[rank];
        let optional =
            |value: Option<u64>| value.map_or("null".to_string(), |value| value.to_string());
        let prepared = own.prepared.as_ref().filter(|(_, _, at)| *at <= Instant::now());
        let armed = own.armed.map_or("null".to_string(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},"sequence":{},"waiting":0,"running":{},"kvUsed":1000,"kvTotal":494000,"handles":0,"group":{},"size":{},"born":{},"pace":1.0,"step":{},"map":{},"prepared":{},"armed":{armed},"held":{}}}"#,
            own.prepared.is_some() && prepared.is_none(),
            own.orders,
            own.active,
            Self::group_json(&state, rank),
            state.ranks.len(),
            own.born,
            state.step,
            own.map,
            optional(prepared.map(|(version, ..)| *version)),
            optional(own.held)
        )
    }

    fn picked(&self, rank: usize, lists: bool) -> String {
        let state = self.shared.0.lock().unwrap();
        let own = &state.ranks[rank];
        let mut text =
            format!(r#"{{"step":{},"epoch":{},"counts":{:?}"#, state.step, state.epoch, own.counts);
        if lists {
            text += &format!(r#","map":{{"version":{},"experts":{:?}}}"#, own.map, own.lists);
            text += ",\"prepared\":";
            match own.prepared.as_ref().filter(|(_, _, at)| *at <= Instant::now()) {
                Some((version, lists, _)) => {
                    text += &format!(r#"{{"version":{version},"experts":{lists:?}}}"#)
                }
                None => text += "null",
            }
        }
        text + "}"
    }

    fn order(&self, rank: usize, order: &Json) -> u16 {
        let mut state = self.shared.0.lock().unwrap();
        if order.get("epoch").number().is_some_and(|epoch| epoch != state.epoch) {
            return 409;
        }
        let step = order.get("step").number().unwrap_or_default();
        let version = order.get("version").number().unwrap_or_default();
        let now_step = state.step;
        let own = &mut state.ranks[rank];
        let status = match order.get("operation").text() {
            "prepare" => {
                if own.prepared.as_ref().is_some_and(|(known, ..)| *known == version)
                    || own.map == version
                {
                    200
                } else if own.armed.is_some() || version <= own.highest {
                    409
                } else {
                    let sets = order.get("map").list().iter().map(|set| {
                        let experts = set.list().get(rank).map(Json::list).unwrap_or_default();
                        experts
                            .iter()
                            .filter_map(Json::number)
                            .map(|expert| expert as u32)
                            .collect::<Vec<u32>>()
                    });
                    let lists: Lists = sets.collect();
                    let new = |(set, known): (&Vec<u32>, &Vec<u32>)| {
                        set.iter().filter(|expert| !known.contains(expert)).count()
                    };
                    let copies: Vec<usize> = lists.iter().zip(&own.lists).map(new).collect();
                    if copies.iter().any(|copies| *copies > SPARE)
                        || lists.iter().any(|set| set.len() > PLACES)
                    {
                        409
                    } else {
                        let at = Instant::now() + COPY_TIME * copies.iter().sum::<usize>() as u32;
                        own.prepared = Some((version, lists, at));
                        own.highest = version;
                        202
                    }
                }
            }
            "arm" => {
                let ready = own
                    .prepared
                    .as_ref()
                    .is_some_and(|(known, _, at)| *known == version && *at <= Instant::now());
                if own.armed == Some((version, step)) {
                    200
                } else if !ready || step <= now_step {
                    409
                } else {
                    own.armed = Some((version, step));
                    202
                }
            }
            "disarm" => match own.armed {
                Some((known, _)) if known == version => {
                    own.armed = None;
                    202
                }
                _ if own.map == version => 409,
                _ => 200,
            },
            "hold" => {
                if own.held == Some(step) {
                    200
                } else if own.held.is_some() || step <= now_step {
                    409
                } else {
                    own.held = Some(step);
                    202
                }
            }
            "go" => {
                if own.held == Some(step) {
                    own.held = None;
                    202
                } else {
                    200
                }
            }
            _ => 400,
        };
        if status == 202 {
            own.orders += 1;
            if order.get("operation").text() == "go" {
                state.switches += 1;
            }
        }
        status
    }

    /// Runs a request: an event in each pass.
    fn stream(&self, rank: usize, request: &Request, wire: &mut Wire) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let (lock, changed) = &*self.shared;
        if request.header("expected-instance").is_some_and(|wanted| wanted != self.id(rank)) {
            return http::respond(
                wire,
                421,
                &[("Request-Id", &id), ("Instance-Id", &self.id(rank))],
                "",
            );
        }
        let mut state = lock.lock().unwrap();
        if state.ranks[rank].active >= SLOTS {
            drop(state);
            return http::respond(wire, 503, &[("Request-Id", &id), ("Not-Executed", "1")], "");
        }
        let harmful = state.harmful.clone().filter(|(part, _)| {
            let prompt = request.header("prompt-prefix").and_then(|parts| parts.rsplit_once(','));
            prompt.is_some_and(|(shared, _)| {
                shared.split(',').any(|entry| entry.split(':').next() == Some(part))
            })
        });
        state.ranks[rank].active += 1;
        if harmful.is_some() {
            state.harmful_arrivals.push(Instant::now());
        }
        let (mut seen, epoch, arrived) = (state.step, state.epoch, Instant::now());
        drop(state);
        let after: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.{rank}\r\nContent-Type: text/event-stream\r\nServer-Load: 1,0,{SLOTS}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut open = true;
        let mut text = head;
        'events: for number in after + 1..=EVENTS {
            let mut state = lock.lock().unwrap();
            while state.step == seen {
                state = changed.wait_timeout(state, Duration::from_millis(100)).unwrap().0;
                let failed = state.ranks[rank].down.is_some()
                    || state.epoch != epoch
                    || state.broken.is_some_and(|since| since.max(arrived).elapsed() >= STALL);
                let crashed = state.crashes.last().map_or(0, |(_, rank)| *rank);
                if state.step == seen && (failed || is_closed(wire)) {
                    let up = state.ranks[rank].down.is_none();
                    state.ranks[rank].active -= 1;
                    drop(state);
                    if up && failed && number == after + 1 {
                        let at_fault = self.id(crashed);
                        let headers = [
                            ("Request-Id", id.as_str()),
                            ("Not-Executed", "1"),
                            ("At-Server", at_fault.as_str()),
                        ];
                        return http::respond(wire, 503, &headers, "");
                    }
                    return false;
                }
            }
            seen = state.step;
            if number == after + 1 {
                state.begun.push((id.clone(), Instant::now()));
                if let Some((_, back_after)) = harmful {
                    state.ranks[rank].active -= 1;
                    drop(state);
                    self.crash(rank, back_after);
                    return false;
                }
            }
            drop(state);
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            if wire.stream.write_all(text.as_bytes()).is_err() {
                open = false;
                break 'events;
            }
            text.clear();
        }
        lock.lock().unwrap().ranks[rank].active -= 1;
        open && wire.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the peer has closed the connection.
pub fn is_closed(wire: &Wire) -> bool {
    let _ = wire.stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = wire.stream.peek(&mut byte);
    let _ = wire.stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
