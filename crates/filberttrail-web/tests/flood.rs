//! Checks what the server does with callers that send too much, and with more of them than it has room for.

use filberttrail_kernel::clock;
use filberttrail_web::memory::{Budget, Buffer, Part, Sizes};
use filberttrail_web::{Body, Limits, Request, Response, server};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const BODY_LIMIT: usize = 1 << 20;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a server that would close a connection has closed it.
const SETTLE: Duration = Duration::from_millis(300);

/// A server that reads bodies, and refuses paths that begin with `/refused` without reading theirs.
struct Server {
    address: SocketAddr,
    budget: Budget,
    /// Number of requests whose body was read whole.
    runs: Arc<AtomicUsize>,
    _open: watch::Sender<bool>,
}

fn limits(memory: usize, connections: usize) -> Limits {
    let memory = Budget::new(Sizes::with_memory(memory), clock::System::shared());
    Limits { connections, memory, ..Limits::default() }
}

async fn start(limits: Limits) -> Server {
    let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (open, stop) = watch::channel(false);
    let (budget, runs) = (limits.memory.clone(), Arc::new(AtomicUsize::new(0)));
    let (memory, counter) = (budget.clone(), runs.clone());
    let handler = move |request: Request| respond(request, memory.clone(), counter.clone());
    tokio::spawn(server::serve(listener, limits, stop, handler));
    Server { address, budget, runs, _open: open }
}

async fn respond(request: Request, memory: Budget, runs: Arc<AtomicUsize>) -> Response {
    let mut response = Response::new(Body::empty());
    if request.uri().path().starts_with("/refused") {
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        return response;
    }
    if request.uri().path() == "/large" {
        let body = memory.hold(Part::Responses, "a", vec![b'x'; 10 << 20]);
        return body.map_or_else(|| server::crowded().into_response(), Response::new);
    }
    let body = request.into_body();
    match server::read_body(body, BODY_LIMIT, TIMEOUT, &memory, Part::Requests, "a").await {
        Ok(body) => {
            runs.fetch_add(1, Ordering::Relaxed);
            Response::new(Body::new(format!("{} bytes", body.len())))
        }
        Err(problem) => problem.into_response(),
    }
}

impl Server {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a connection")
    }

    /// Sends bytes and returns what is answered until the server closes.
    async fn send(&self, bytes: &[u8]) -> String {
        let (mut reading, mut writing) = self.connect().await.into_split();
        let sending = async {
            let _ = writing.write_all(bytes).await;
            writing
        };
        let receiving = async {
            let mut answer = Vec::new();
            while !has_whole_answer(&answer) {
                match reading.read_buf(&mut answer).await {
                    Ok(length) if length > 0 => {}
                    _ => break,
                }
            }
            String::from_utf8_lossy(&answer).into_owned()
        };
        tokio::join!(sending, receiving).1
    }
}

fn has_whole_answer(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}

fn announced(path: &str, length: usize) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

fn chunked(chunk: usize, count: usize) -> Vec<u8> {
    let head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    format!("{head}{}0\r\n\r\n", chunk.repeat(count)).into_bytes()
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut answer = vec![0; 4_096];
    let length = stream.read(&mut answer).await.unwrap_or_default();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against bodies that arrive changed or stay charged, whatever their framing.
#[tokio::test]
async fn bodies_are_read_whole_and_returned_to_the_budget() {
    let server = start(limits(64_000_000, 100)).await;
    for length in [0, 1, 5_000, 8_192, 8_193, 70_000, BODY_LIMIT] {
        let mut request = announced("/", length);
        request.resize(request.len() + length, b'x');
        let answer = server.send(&request).await;
        assert!(answer.ends_with(&format!("\r\n\r\n{length} bytes")), "{length}: {answer}");
    }
    for (chunk, count) in [(1, 1), (1, 5_000), (5_000, 1), (64 << 10, 16)] {
        let answer = server.send(&chunked(chunk, count)).await;
        assert!(answer.ends_with(&format!("\r\n\r\n{} bytes", chunk * count)), "{answer}");
    }
    tokio::time::sleep(SETTLE).await;
    assert_eq!(server.budget.used(Part::Requests), 0);
    assert_eq!(server.budget.used(Part::Connections), 0);
}

/// Guards against reading a body that is announced as too large, and against a refusal that is lost in a
/// reset connection while the caller still sends.
#[tokio::test]
async fn a_caller_that_sends_too_much_gets_its_refusal() {
    let server = start(limits(64_000_000, 100)).await;
    let mut stream = server.connect().await;
    stream.write_all(&announced("/", BODY_LIMIT + 1)).await.expect("a head");
    assert!(read_some(&mut stream).await.starts_with("HTTP/1.1 413"));
    let mut whole = announced("/", 3 * BODY_LIMIT);
    whole.resize(whole.len() + 3 * BODY_LIMIT, b'x');
    assert!(server.send(&whole).await.starts_with("HTTP/1.1 413"));
    assert!(server.send(&chunked(64 << 10, 48)).await.starts_with("HTTP/1.1 413"));
    let mut whole = announced("/refused", BODY_LIMIT);
    whole.resize(whole.len() + BODY_LIMIT, b'x');
    assert!(server.send(&whole).await.starts_with("HTTP/1.1 401"));
    assert_eq!(server.runs.load(Ordering::Relaxed), 0);
    assert_eq!(server.budget.used(Part::Requests), 0);
}

/// Guards against a head over the limit that is answered by a reset connection.
#[tokio::test]
async fn a_head_over_the_limit_gets_status_431() {
    let server = start(limits(64_000_000, 100)).await;
    for size in [17_000, 30_000, 200_000] {
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "x".repeat(size));
        let answer = server.send(head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{size}: {answer}");
    }
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "x".repeat(16_300));
    assert!(server.send(head.as_bytes()).await.starts_with("HTTP/1.1 200"));
}

/// Guards against a caller that keeps its connection by sending for ever after its refusal.
#[tokio::test]
async fn a_lingering_connection_closes_in_time() {
    let server = start(limits(64_000_000, 100)).await;
    let mut stream = server.connect().await;
    stream.write_all(&announced("/refused", BODY_LIMIT)).await.expect("a head");
    let drip = async {
        while stream.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, drip).await.expect("the connection closes");
}

/// Guards against a body that gives way without a refusal, or that runs after one.
#[tokio::test]
async fn a_body_that_gives_way_is_refused_and_does_not_run() {
    let server = start(limits(8_000_000, 100)).await;
    let mut stalled = server.connect().await;
    stalled.write_all(&announced("/", BODY_LIMIT)).await.expect("a head");
    stalled.write_all(&vec![b'x'; BODY_LIMIT - 1]).await.expect("most of a body");
    while server.budget.used(Part::Requests) < BODY_LIMIT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Fills the rest of the part, at most 2,400,000 bytes of which 1,800,000 are for large bodies.
    let mut other = Buffer::new(&server.budget, Part::Requests, "b", BODY_LIMIT);
    assert!(other.push(&vec![0; BODY_LIMIT - 1]));
    let answer = read_some(&mut stalled).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n") && answer.contains("\"ran\":\"no\""), "{answer}");
    let _ = stalled.write_all(b"x").await;
    tokio::time::sleep(SETTLE).await;
    assert_eq!(server.runs.load(Ordering::Relaxed), 0);
}

/// Guards against connections without requests that keep new ones out.
#[tokio::test]
async fn the_longest_idle_connection_gives_way_to_a_new_one() {
    let server = start(limits(64_000_000, 3)).await;
    let mut running = server.connect().await;
    running.write_all(&announced("/", 10)).await.expect("a head");
    tokio::time::sleep(SETTLE).await;
    let mut first = server.connect().await;
    first.write_all(b"GET / HTTP/1.1\r\nhost:").await.expect("a part of a head");
    tokio::time::sleep(SETTLE).await;
    let mut second = server.connect().await;
    second.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    assert!(read_some(&mut second).await.starts_with("HTTP/1.1 200"));
    let mut new = server.connect().await;
    new.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    assert!(read_some(&mut new).await.starts_with("HTTP/1.1 200"));
    assert_eq!(read_some(&mut first).await, "", "the longest idle connection is still open");
    second.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    assert!(read_some(&mut second).await.starts_with("HTTP/1.1 200"));
    running.write_all(b"0123456789").await.expect("the body");
    assert!(read_some(&mut running).await.ends_with("10 bytes"));
}

/// Guards against closing connections with requests, and against new ones that are lost meanwhile.
#[tokio::test]
async fn a_new_connection_waits_while_requests_run_on_all() {
    let server = start(limits(64_000_000, 1)).await;
    let mut running = server.connect().await;
    running.write_all(&announced("/", 10)).await.expect("a head");
    tokio::time::sleep(SETTLE).await;
    let mut new = server.connect().await;
    new.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    let mut byte = [0];
    let early = tokio::time::timeout(SETTLE, new.peek(&mut byte)).await;
    assert!(early.is_err(), "the new connection was served or closed");
    running.write_all(b"0123456789").await.expect("the body");
    assert!(read_some(&mut running).await.ends_with("10 bytes"));
    assert!(read_some(&mut new).await.starts_with("HTTP/1.1 200"));
}

/// Guards against slow readers that keep the memory of responses from others.
#[tokio::test]
async fn a_response_that_gives_way_closes_its_connection() {
    // A quarter of it is for responses: one of them fits.
    let server = start(limits(64_000_000, 100)).await;
    let mut slow = server.connect().await;
    slow.write_all(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    assert!(read_some(&mut slow).await.starts_with("HTTP/1.1 200"));
    tokio::time::sleep(SETTLE).await;
    let other = server.send(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(other.starts_with("HTTP/1.1 200") && other.len() > 10 << 20, "{}", other.len());
    let mut rest = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, slow.read_to_end(&mut rest)).await.expect("an end");
    assert!(read.is_err() || rest.len() < 10 << 20, "the slow reader got all");
}
