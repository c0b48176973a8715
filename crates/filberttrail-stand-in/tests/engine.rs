//! The stand-in engine does what engines do: priorities, resumed streams, late and lost events.

use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_stand_in::engine::{Event, Settings};
use filberttrail_stand_in::{Engine, text};
use filberttrail_web::{Body, Client};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

async fn start(settings: Settings) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(Engine::new(settings).run(listener, stopped));
    (address, stop)
}

async fn ask(address: SocketAddr, method: &str, path: &str, body: serde_json::Value) -> String {
    let request = hyper::Request::builder().method(method).uri(path).header("host", "engine");
    let request = request.body(Body::new(body.to_string())).expect("a request");
    let client = Client::new();
    let answer = client.fetch(address, request, Duration::from_secs(30), 1 << 20).await;
    String::from_utf8_lossy(answer.expect("an answer").body()).into_owned()
}

/// Waits until so many requests have reached the engine.
async fn wait_for_begun(address: SocketAddr, requests: u64) {
    for _ in 0..1_000 {
        let counts = ask(address, "GET", "/control/counts", serde_json::Value::Null).await;
        let counts: serde_json::Value = serde_json::from_str(&counts).expect("counts");
        if counts["begun"].as_u64() >= Some(requests) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the engine has not begun {requests} requests");
}

#[tokio::test]
async fn a_higher_priority_goes_first() {
    let (address, _stop) = start(Settings { batch: 1, cold_limit: 8, ..Settings::default() }).await;
    let call = |name: &'static str, priority: u32, words: u64| async move {
        let body = serde_json::json!({ "prompt": name, "max_tokens": words, "priority": priority });
        ask(address, "POST", "/v1/completions", body).await;
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
        order.push(name.expect("an answer"));
    }
    assert_eq!(order, ["first", "high", "low"]);
}

#[tokio::test]
async fn a_resumed_stream_goes_on_where_it_was_cut() {
    let (address, _stop) = start(Settings::default()).await;
    let body = serde_json::json!({
        "prompt": "a notice", "max_tokens": 6, "stream": true, "resume_from": 4,
    });
    let answer = ask(address, "POST", "/v1/completions", body).await;
    assert!(!answer.contains(text::word("a notice", 3).as_str()));
    assert!(answer.contains(text::word("a notice", 4).as_str()));
    assert!(answer.contains(text::word("a notice", 5).as_str()));
    assert!(answer.trim_end().ends_with("[DONE]"));
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    let (address, _stop) = start(Settings::default()).await;
    for index in 0..8 {
        let body = serde_json::json!({ "prompt": format!("prompt {index}"), "max_tokens": 1 });
        ask(address, "POST", "/v1/completions", body).await;
    }
    let mut events: Vec<Event> = Vec::new();
    for _ in 0..200 {
        let told = ask(address, "GET", "/events?after=0", serde_json::Value::Null).await;
        events = serde_json::from_str(&told).expect("events");
        if events.last().is_some_and(|event| event.number == 8) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6, 8], "the seventh is lost");
}

#[tokio::test]
async fn a_request_for_another_life_is_refused_before_it_starts() {
    let (address, _stop) = start(Settings::default()).await;
    let call = async |life: u64| {
        let body = Body::new(r#"{"prompt":"hello","max_tokens":1}"#.to_string());
        let request = hyper::Request::post("/v1/completions").header("host", "engine");
        let request =
            request.header(ENGINE_INCARNATION_HEADER, life).body(body).expect("a request");
        let client = Client::new();
        client.fetch(address, request, Duration::from_secs(30), 1 << 20).await.expect("an answer")
    };
    let refused = call(0).await;
    assert_eq!(refused.status(), hyper::StatusCode::PRECONDITION_FAILED);
    let life = refused.headers()[ENGINE_INCARNATION_HEADER]
        .to_str()
        .expect("text")
        .parse()
        .expect("a life");
    let counts = ask(address, "GET", "/control/counts", serde_json::Value::Null).await;
    assert!(counts.contains(r#""begun":0"#), "{counts}");
    assert_eq!(call(life).await.status(), hyper::StatusCode::OK);
}
