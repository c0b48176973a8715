//! Behaviour of the stand-in engine that other tests rely on: priorities, resumed streams, delayed
//! and lost cache events, and the check of the incarnation.

use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_stand_in::engine::{Event, Settings};
use filberttrail_stand_in::{Engine, text};
use filberttrail_web::{Body, Client};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
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
