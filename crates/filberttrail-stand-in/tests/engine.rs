//! Behaviour of the stand-in engine that other tests rely on: priorities, resumed streams, delayed
//! and lost cache events, the check of the incarnation, restarts, and steps whose commit is lost.

use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_stand_in::engine::{Event, Settings};
use filberttrail_stand_in::{Engine, text};
use filberttrail_web::memory::{Budget, Part};
use filberttrail_web::{Body, Client};
use filberttrail_web::{Limits, Request, Response, server};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

async fn start(settings: Settings) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(Engine::new(settings).run(listener, stopped));
    (address, stop)
}

async fn send(address: SocketAddr, method: &str, path: &str, body: serde_json::Value) -> String {
    let request = hyper::Request::builder().method(method).uri(path).header("host", "engine");
    let request = request.body(Body::new(body.to_string())).expect("a request");
    let client = Client::new();
    let response = client.fetch(address, request, Duration::from_secs(30), 1 << 20).await;
    String::from_utf8_lossy(response.expect("a response").body()).into_owned()
}

/// Waits until the engine has admitted this number of requests.
async fn wait_for_begun(address: SocketAddr, requests: u64) {
    for _ in 0..1_000 {
        let counts = send(address, "GET", "/control/counts", serde_json::Value::Null).await;
        let counts: serde_json::Value = serde_json::from_str(&counts).expect("counts");
        if counts["begun"].as_u64() >= Some(requests) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the engine has not admitted {requests} requests");
}

#[tokio::test]
async fn runs_queued_requests_by_priority() {
    let (address, _stop) = start(Settings { batch: 1, cold_limit: 8, ..Settings::default() }).await;
    let call = |name: &'static str, priority: u32, words: u64| async move {
        let body = serde_json::json!({ "prompt": name, "max_tokens": words, "priority": priority });
        send(address, "POST", "/v1/completions", body).await;
        name
    };
    let mut running = tokio::task::JoinSet::new();
    running.spawn(call("first", 0, 60));
    wait_for_begun(address, 1).await;
    running.spawn(call("low", 0, 5));
    wait_for_begun(address, 2).await;
    running.spawn(call("high", 9, 5));
    let mut order = Vec::new();
    while let Some(name) = running.join_next().await {
        order.push(name.expect("a response"));
    }
    assert_eq!(order, ["first", "high", "low"]);
}

#[tokio::test]
async fn a_resumed_stream_starts_at_the_requested_word() {
    let (address, _stop) = start(Settings::default()).await;
    let body = serde_json::json!({
        "prompt": "a notice", "max_tokens": 6, "stream": true, "resume_from": 4,
    });
    let response = send(address, "POST", "/v1/completions", body).await;
    assert!(!response.contains(text::generate_word("a notice", 3).as_str()));
    assert!(response.contains(text::generate_word("a notice", 4).as_str()));
    assert!(response.contains(text::generate_word("a notice", 5).as_str()));
    assert!(response.trim_end().ends_with("[DONE]"));
}

#[tokio::test]
async fn reports_cache_events_with_a_delay_and_drops_every_seventh() {
    let (address, _stop) = start(Settings::default()).await;
    for index in 0..8 {
        let body = serde_json::json!({ "prompt": format!("prompt {index}"), "max_tokens": 1 });
        send(address, "POST", "/v1/completions", body).await;
    }
    let mut events: Vec<Event> = Vec::new();
    for _ in 0..200 {
        let body = send(address, "GET", "/events?after=0", serde_json::Value::Null).await;
        events = serde_json::from_str(&body).expect("events");
        if events.last().is_some_and(|event| event.number == 8) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6, 8], "the seventh event is dropped");
}

#[tokio::test]
async fn refuses_a_request_for_another_incarnation_before_it_starts() {
    let (address, _stop) = start(Settings::default()).await;
    let call = async |incarnation: u64| {
        let body = Body::new(r#"{"prompt":"hello","max_tokens":1}"#.to_string());
        let request = hyper::Request::post("/v1/completions").header("host", "engine");
        let request =
            request.header(ENGINE_INCARNATION_HEADER, incarnation).body(body).expect("a request");
        let client = Client::new();
        client.fetch(address, request, Duration::from_secs(30), 1 << 20).await.expect("a response")
    };
    let refused = call(0).await;
    assert_eq!(refused.status(), hyper::StatusCode::PRECONDITION_FAILED);
    let incarnation = refused.headers()[ENGINE_INCARNATION_HEADER]
        .to_str()
        .expect("UTF-8 text")
        .parse()
        .expect("a number");
    let counts = send(address, "GET", "/control/counts", serde_json::Value::Null).await;
    assert!(counts.contains(r#""begun":0"#), "{counts}");
    assert_eq!(call(incarnation).await.status(), hyper::StatusCode::OK);
}

#[tokio::test]
async fn an_engine_that_restarts_holds_none_of_its_earlier_requests() {
    let (address, _stop) = start(Settings { cold_limit: 4, ..Settings::default() }).await;
    for number in 0..4 {
        let body = serde_json::json!({ "prompt": format!("old {number}"), "max_tokens": 10_000 });
        let request = hyper::Request::post("/v1/completions").header("host", "engine");
        let request = request.body(Body::new(body.to_string())).expect("a request");
        tokio::spawn(async move {
            let client = Client::new();
            // The restart breaks it off.
            let _ = client.fetch(address, request, Duration::from_secs(30), 1 << 20).await;
        });
    }
    wait_for_begun(address, 4).await;
    // Both requests are handled one after the other, before the tasks of the earlier ones run.
    let write = |method: &str, path: &str, body: &str| {
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nhost: engine\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    let restart = write("PUT", "/control/script", r#"{"cold":true}"#);
    let next = write("POST", "/v1/completions", r#"{"prompt":"new","max_tokens":1}"#);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all((restart + &next).as_bytes()).await.expect("two requests");
    wait_for_begun(address, 5).await;
    let counts = send(address, "GET", "/control/counts", serde_json::Value::Null).await;
    let counts: serde_json::Value = serde_json::from_str(&counts).expect("counts");
    assert_eq!(counts["overloads"], 0, "{counts}");
}

/// The versions that a rank has committed, by number of the step.
type Committed = Arc<Mutex<BTreeMap<u64, BTreeSet<u64>>>>;

/// Starts a rank that commits each step it is asked to, but whose answers to commits are lost while
/// `loses` is set.
async fn start_rank(loses: Arc<AtomicBool>) -> (SocketAddr, Committed) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let committed = Committed::default();
    let seen = committed.clone();
    let handle = move |request: Request| {
        let (seen, loses) = (seen.clone(), loses.clone());
        async move {
            let (body, timeout) = (request.into_body(), Duration::from_secs(5));
            let memory = Budget::unlimited();
            let body = server::read_body(body, 4_096, timeout, &memory, Part::Requests, "").await;
            let call: serde_json::Value =
                serde_json::from_slice(&body.unwrap_or_default()).expect("a step");
            let mut response = Response::new(Body::empty());
            if call["commit"] == true {
                let [number, version] =
                    ["number", "version"].map(|field| call["step"][field].as_u64().expect(field));
                seen.lock().expect("no panic").entry(number).or_default().insert(version);
                if loses.load(Ordering::Relaxed) {
                    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                }
            }
            response
        }
    };
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        server::serve(listener, Limits::default(), stopped, handle).await;
        drop(stop);
    });
    (address, committed)
}

#[tokio::test]
async fn a_step_whose_commit_is_lost_keeps_its_map() {
    let loses = Arc::new(AtomicBool::new(true));
    let (rank, committed) = start_rank(loses.clone()).await;
    let (leader, _stop) = start(Settings { peers: vec![rank], ..Settings::default() }).await;
    let order = |version: u64| serde_json::json!({ "fence": 1, "version": version, "map": {} });
    let count = || committed.lock().expect("no panic").len();
    for version in [1, 2] {
        send(leader, "POST", "/orders/stage", order(version)).await;
    }
    send(leader, "POST", "/orders/activate", order(1)).await;
    while count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    send(leader, "POST", "/orders/activate", order(2)).await;
    loses.store(false, Ordering::Relaxed);
    while count() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let committed = committed.lock().expect("no panic").clone();
    let mixed = committed.values().any(|versions| versions.len() > 1);
    assert!(!mixed, "versions by step: {committed:?}");
}
