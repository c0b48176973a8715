//! A part of prompts crashes each engine that writes an answer on it, some tenths of a second after the
//! answer began. It is never found out, and goes on crashing engines.

use crate::gateway::{Gateway, configuration, registration_born};
use crate::store::Store;
use crate::{Record, http};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Engines of the model service, and their places.
const ENGINES: usize = 16;
const SLOTS: u32 = 12;
/// The harmful part, and the time from the start of an answer to the crash.
const HARMFUL: &str = "bad0bad0";
const CRASH_AFTER: Duration = Duration::from_millis(700);
/// Time for which a crashed engine is away.
const AWAY: Duration = Duration::from_secs(4);
/// Events of a stream, and the time between two.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two requests; of so many, the last is a harmful one once these come.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const ONE_IN: usize = 10;
const CALM: Duration = Duration::from_secs(5);
const HARMED_FOR: Duration = Duration::from_secs(30);
/// `stabilityWindowMs`.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

struct Engine {
    number: usize,
    address: SocketAddr,
    born: AtomicU64,
    down: AtomicBool,
}

#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Arrivals of requests with the harmful part at engines.
    harmful: Vec<Instant>,
}

struct Estate {
    store: Store,
    record: Arc<Record>,
    trouble: bool,
    seen: Mutex<Seen>,
}

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.write("config", "main", &configuration());
    let (record_of_estate, store_of_estate) = (record.clone(), store.clone());
    let estate = Arc::new(Estate {
        store: store_of_estate,
        record: record_of_estate,
        trouble,
        seen: Mutex::default(),
    });
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = AtomicU64::new(1_790_000_000_000 + number as u64);
        let engine = Arc::new(Engine { number, address, born, down: AtomicBool::new(false) });
        estate.register(&engine);
        estate.clone().listen(engine, listener);
    }
    let start = |number: usize| {
        let name = format!("front-noord-{number}-1");
        Gateway::start(&name, &format!("noord-{number}"), store.address, folder)
    };
    let gateways = [start(1), start(2), start(3)];
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.note("a gateway is not ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(3_200));
    let started = Instant::now();
    let outcomes = Arc::<Mutex<Vec<(bool, bool)>>>::default();
    let mut number = 0_usize;
    let mut callers = Vec::new();
    while started.elapsed() < CALM + HARMED_FOR {
        number += 1;
        let harmful = number.is_multiple_of(ONE_IN) && started.elapsed() > CALM;
        let front = gateways[number % gateways.len()].front;
        let (outcomes, record) = (outcomes.clone(), record.clone());
        callers.push(http::spawn(move || {
            let kind = if harmful { "harmful" } else { "sound" };
            let id = format!("{kind}-{number}");
            let outcome = ask(front, &id, number, harmful);
            let served = matches!(&outcome, Ok((200, true)));
            record.note(&format!("{id}: {outcome:?}"));
            outcomes.lock().unwrap().push((harmful, served));
        }));
        let due = started + REQUEST_INTERVAL * number as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let seen = estate.seen.lock().unwrap();
    let outcomes = outcomes.lock().unwrap();
    let sound: Vec<bool> =
        outcomes.iter().filter(|(harmful, _)| !harmful).map(|(_, served)| *served).collect();
    let served = sound.iter().filter(|served| **served).count();
    let late = seen.crashes.get(4).map_or(0, |fifth| {
        seen.harmful.iter().filter(|at| **at > *fifth + STABILITY_WINDOW).count()
    });
    record.note(&format!(
        "{} crashes; {} requests with the part reached engines, {late} of them later than \
         stabilityWindowMs after the fifth crash; {served} of {} sound requests were served whole",
        seen.crashes.len(),
        seen.harmful.len(),
        sound.len()
    ));
    let broken = late > 3;
    record.note(if broken { "BUDGET is broken" } else { "BUDGET holds" });
    Some(broken)
}

impl Estate {
    fn register(&self, engine: &Engine) {
        let (zone, born) = (engine.number % 3 + 1, engine.born.load(Ordering::Relaxed));
        let zone = format!("noord-{zone}");
        let entry = registration_born("draft", engine.address, &zone, SLOTS, born);
        self.store.write("servers", &format!("i-draft-{}", engine.number), &entry);
    }

    fn listen(self: Arc<Self>, engine: Arc<Engine>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        http::spawn(move || {
            while !engine.down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (estate, engine) = (self.clone(), engine.clone());
                        http::spawn(move || drop(estate.serve(&engine, stream)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Ends the engine's process, which starts again under its id after some seconds.
    fn crash(self: &Arc<Self>, engine: &Arc<Engine>) {
        if engine.down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.seen.lock().unwrap().crashes.push(Instant::now());
        self.record.note(&format!("i-draft-{} crashes", engine.number));
        let (estate, engine) = (self.clone(), engine.clone());
        http::spawn(move || {
            std::thread::sleep(AWAY);
            engine.born.fetch_add(4_000, Ordering::Relaxed);
            engine.down.store(false, Ordering::SeqCst);
            let listener = TcpListener::bind(engine.address).expect("the port is free again");
            estate.clone().listen(engine.clone(), listener);
            estate.register(&engine);
        });
    }

    fn serve(self: &Arc<Self>, engine: &Arc<Engine>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let born = engine.born.load(Ordering::Relaxed);
        let ended =
            || engine.down.load(Ordering::SeqCst) || engine.born.load(Ordering::Relaxed) != born;
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
            let harmful = value("prompt-prefix").contains(HARMFUL);
            if harmful {
                self.seen.lock().unwrap().harmful.push(Instant::now());
                self.record.note(&format!("i-draft-{} gets {id}", engine.number));
            }
            let first = value("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.{}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                engine.number
            );
            stream.write_all(head.as_bytes())?;
            let began = Instant::now();
            for number in first..=EVENTS {
                std::thread::sleep(EVENT_INTERVAL);
                if harmful && self.trouble && began.elapsed() >= CRASH_AFTER {
                    self.crash(engine);
                }
                if ended() {
                    return stream.shutdown(Shutdown::Both);
                }
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
    }
}

/// Returns the status, and whether the whole stream arrived. No two requests are alike.
fn ask(front: SocketAddr, id: &str, number: usize, harmful: bool) -> io::Result<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    let part = if harmful { format!("{HARMFUL}:120,") } else { String::new() };
    let request = format!(
        "POST /note/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline: 8000\r\n\
         Model: m\r\nToken-Usage: 714,240\r\nPrompt-Prefix: 5c1e07a2:40,{part}{number:08x}:674\r\n\
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
