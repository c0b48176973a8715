//! A rank of a lock-step group crashes again and again, whatever it runs. A part that all sound prompts
//! share is condemned for it, and stays so once the rank is sound again and the gateways have restarted.

use crate::gateway::{Gateway, configuration};
use crate::store::Store;
use crate::{Record, http};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of deployments that are played at once.
const DEPLOYMENTS: usize = 4;
/// Ranks of the group, and the one that crashes.
const RANKS: usize = 8;
const CRASHING: usize = 3;
/// Number of crashes. The rank is away for some time after each, and the group opens some time later.
const CRASHES: usize = 24;
const AWAY: Duration = Duration::from_millis(1_000);
const FORM: Duration = Duration::from_millis(600);
/// Time from the opening of the group to the next crash.
const UP: Duration = Duration::from_millis(400);
/// `stall_ms`: time after which the other ranks cut off their work.
const STALL: Duration = Duration::from_millis(1_500);
/// Events of a stream, and the time between two.
const EVENTS: u64 = 26;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two requests of callers, at each gateway in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const CALM: Duration = Duration::from_secs(22);
/// `recoveryS`, and the time over which requests are counted after it.
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(6);

struct Group {
    store: Store,
    addresses: [SocketAddr; RANKS],
    born: [AtomicU64; RANKS],
    epoch: AtomicU64,
    open: AtomicBool,
    /// Whether the crashing rank has no process now.
    down: AtomicBool,
    record: Arc<Record>,
}

/// Plays the same at several deployments at once, as it is a matter of chance where a trial runs. The rule
/// is broken if it is at any of them.
pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Option<bool> {
    let plays: Vec<_> = (1..=DEPLOYMENTS)
        .map(|number| {
            let (record, folder) = (record.of_deployment(number), folder.join(number.to_string()));
            http::spawn(move || {
                std::fs::create_dir_all(&folder).ok()?;
                play(&record, &folder, trouble)
            })
        })
        .collect();
    let verdicts: Vec<Option<bool>> =
        plays.into_iter().map(|play| play.join().ok().flatten()).collect();
    let verdicts: Vec<bool> = verdicts.into_iter().collect::<Option<_>>()?;
    let broken = verdicts.iter().filter(|broken| **broken).count();
    record.note(&format!("RECOVER is broken at {broken} of {DEPLOYMENTS} deployments"));
    Some(broken > 0)
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.write("config", "main", &configuration());
    let listeners: Vec<TcpListener> =
        (0..RANKS).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let addresses = std::array::from_fn(|rank| listeners[rank].local_addr().expect("an address"));
    let group = Arc::new(Group {
        store: store.clone(),
        addresses,
        born: std::array::from_fn(|rank| AtomicU64::new(1_790_000_000_000 + rank as u64)),
        epoch: AtomicU64::new(1),
        open: AtomicBool::new(true),
        down: AtomicBool::new(false),
        record: record.clone(),
    });
    for (rank, listener) in listeners.into_iter().enumerate() {
        group.clone().listen(rank, listener);
        group.register(rank);
    }
    let start = |number: usize| {
        let name = format!("front-noord-{number}-1");
        Gateway::start(&name, &format!("noord-{number}"), store.address, folder)
    };
    let mut gateways = vec![start(1), start(2)];
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.note("a gateway is not ready");
        return None;
    }
    let fronts = Arc::new(Mutex::new(gateways.iter().map(|gateway| gateway.front).collect()));
    let (over, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<_>>>::default());
    let callers = {
        let (fronts, over, outcomes, record) =
            (fronts.clone(), over.clone(), outcomes.clone(), record.clone());
        http::spawn(move || send_requests(&fronts, &over, &outcomes, &record))
    };
    std::thread::sleep(CALM);
    if trouble {
        for number in 1..=CRASHES {
            group.crash(number);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    record.note("final fault: all gateways are killed");
    let fault_at = Instant::now();
    gateways.clear();
    std::thread::sleep(Duration::from_millis(760));
    gateways.extend([start(1), start(2)]);
    *fronts.lock().unwrap() = gateways.iter().map(|gateway| gateway.front).collect();
    let ready = gateways.iter().all(Gateway::wait_until_ready);
    let back_at = Instant::now();
    record.note(&format!("the gateways are back, ready: {ready}"));
    std::thread::sleep(RECOVERY + COUNTED);
    let until = Instant::now();
    over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    std::thread::sleep(Duration::from_millis(2_500));
    let outcomes = outcomes.lock().unwrap();
    let count = |from: Instant, to: Instant| {
        let sent = outcomes.iter().filter(|(at, _)| from <= *at && *at < to);
        let served = sent.clone().filter(|(_, served)| *served).count();
        (served, sent.count())
    };
    let first = outcomes.iter().map(|(at, _)| *at).min()?;
    let (before, sent_before) = count(first, fault_at);
    let (after, sent_after) = count(back_at + RECOVERY, until);
    record.note(&format!(
        "served: {before} of {sent_before} before the final fault, {after} of {sent_after} sent later \
         than recoveryS after the gateways were back"
    ));
    if 4 * before < sent_before || sent_after < 20 {
        record.note("too little was served before");
        return None;
    }
    let broken = 4 * after < sent_after;
    record.note(if broken { "RECOVER is broken" } else { "RECOVER holds" });
    Some(broken)
}

impl Group {
    fn register(&self, rank: usize) {
        let state = if self.open.load(Ordering::Relaxed) { "open" } else { "broken" };
        let (address, born) = (self.addresses[rank], self.born[rank].load(Ordering::Relaxed));
        let epoch = self.epoch.load(Ordering::Relaxed);
        let zone = rank % 3 + 1;
        let entry = format!(
            r#"{{"service":"draft","address":"{address}","zone":"noord-{zone}","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born},"group":{{"name":"g0","epoch":{epoch},"rank":{rank},"state":"{state}"}},"size":{RANKS}}}"#
        );
        self.store.write("servers", &format!("i-draft-{rank}"), &entry);
    }

    /// The rank's process ends, and starts again under the same id; then the group opens in a new epoch.
    fn crash(self: &Arc<Self>, number: usize) {
        self.record.note(&format!("crash {number} of rank {CRASHING}"));
        self.open.store(false, Ordering::SeqCst);
        self.down.store(true, Ordering::SeqCst);
        (0..RANKS).filter(|rank| *rank != CRASHING).for_each(|rank| self.register(rank));
        std::thread::sleep(AWAY);
        self.born[CRASHING].fetch_add(2_000, Ordering::Relaxed);
        self.down.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(self.addresses[CRASHING]).expect("the port is free again");
        self.clone().listen(CRASHING, listener);
        self.register(CRASHING);
        std::thread::sleep(FORM);
        self.epoch.fetch_add(1, Ordering::Relaxed);
        self.open.store(true, Ordering::SeqCst);
        (0..RANKS).for_each(|rank| self.register(rank));
        self.record.note("the group is open");
        if number < CRASHES {
            std::thread::sleep(UP);
        }
    }

    fn is_down(&self, rank: usize) -> bool {
        rank == CRASHING && self.down.load(Ordering::SeqCst)
    }

    fn listen(self: Arc<Self>, rank: usize, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        http::spawn(move || {
            while !self.is_down(rank) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let group = self.clone();
                        http::spawn(move || drop(group.serve(rank, stream)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Serves one connection. Its process ends with the rank's.
    fn serve(&self, rank: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let born = self.born[rank].load(Ordering::Relaxed);
        let ended = || self.is_down(rank) || self.born[rank].load(Ordering::Relaxed) != born;
        let mut received = Vec::new();
        loop {
            while !ended() && !received.windows(4).any(|four| four == b"\r\n\r\n") {
                let mut bytes = [0; 4_096];
                match stream.read(&mut bytes) {
                    Ok(0) => return Ok(()),
                    Ok(length) => received.extend_from_slice(&bytes[..length]),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
            if ended() {
                return stream.shutdown(Shutdown::Both);
            }
            let head = String::from_utf8_lossy(&received).into_owned();
            received.clear();
            let value = |name: &str| {
                let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name));
                line.and_then(|line| line.split_once(':')).map_or("", |(_, value)| value.trim())
            };
            let id = value("request-id");
            let open = self.open.load(Ordering::SeqCst);
            self.record.note(&format!("rank {rank} gets {id}, the group is open: {open}"));
            if !open {
                // All ranks stall before they answer.
                std::thread::sleep(STALL);
                if ended() {
                    return stream.shutdown(Shutdown::Both);
                }
                let refusal = format!(
                    "Request-Id: {id}\r\nNot-Executed: 1\r\nAt-Server: i-draft-{CRASHING}\r\n"
                );
                http::write_answer(&mut stream, 503, &refusal, b"")?;
                continue;
            }
            let epoch = self.epoch.load(Ordering::Relaxed);
            let first = value("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.{rank}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for number in first..=EVENTS {
                std::thread::sleep(EVENT_INTERVAL);
                if ended() {
                    return stream.shutdown(Shutdown::Both);
                }
                let same = self.epoch.load(Ordering::Relaxed) == epoch;
                if !self.open.load(Ordering::SeqCst) || !same {
                    std::thread::sleep(STALL);
                    return stream.shutdown(Shutdown::Both);
                }
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
    }
}

/// Sends requests whose prompts share their first part, until they are over.
fn send_requests(
    fronts: &Mutex<Vec<SocketAddr>>,
    over: &AtomicBool,
    outcomes: &Arc<Mutex<Vec<(Instant, bool)>>>,
    record: &Arc<Record>,
) {
    let mut number = 0_usize;
    let started = Instant::now();
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let front = {
            let fronts = fronts.lock().unwrap();
            fronts[number % fronts.len()]
        };
        let (outcomes, record) = (outcomes.clone(), record.clone());
        http::spawn(move || {
            let id = format!("note-{number}");
            let at = Instant::now();
            let outcome = ask(front, &id, number);
            let served = matches!(&outcome, Ok((200, true)));
            record.note(&format!("{id}: {outcome:?}"));
            outcomes.lock().unwrap().push((at, served));
        });
        let due = started + REQUEST_INTERVAL * number as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Returns the status, and whether the whole stream arrived.
fn ask(front: SocketAddr, id: &str, number: usize) -> io::Result<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    let request = format!(
        "POST /note/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline: 8000\r\n\
         Model: m\r\nToken-Usage: 714,156\r\nPrompt-Prefix: 5c1e07a2:40,{number:08x}:674\r\n\
         Authorization: Bearer key-ordinary\r\nConnection: close\r\nContent-Length: 5\r\n\r\n{:05}",
        number % 100_000
    );
    stream.write_all(request.as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut rest = String::new();
    reader.read_to_string(&mut rest)?;
    Ok((status, rest.contains(&format!("data: {id} {EVENTS}\n")) && rest.ends_with("0\r\n\r\n")))
}
