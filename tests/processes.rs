//! Requests through an estate of separate processes: a stand-in platform, engine and service, two
//! sidecars and an entry.

use filberttrail_dev::Caller;
use filberttrail_dev::caller::parse_streamed_text;
use filberttrail_stand_in::text;
use filberttrail_test_support::process::{Process, ProcessSignal, free_ports};
use std::net::SocketAddr;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");
const SECRET: &str = "0123456789abcdef";

struct Estate {
    platform: Process,
    service: Process,
    sidecars: Vec<Process>,
    entry: Process,
    _engine: Process,
    directory: std::path::PathBuf,
    sidecar_ports: Vec<u16>,
    upstream_addresses: Vec<SocketAddr>,
}

fn start_sidecar(name: &str, port: u16, upstream: SocketAddr, platform: SocketAddr) -> Process {
    let (listen, upstream) = (format!("127.0.0.1:{port}"), upstream.to_string());
    let platform = platform.to_string();
    let arguments = [
        "sidecar",
        "--name",
        name,
        "--listen",
        &listen,
        "--admin",
        "127.0.0.1:0",
        "--upstream",
        &upstream,
        "--platform",
        &platform,
        "--secret",
        SECRET,
    ];
    Process::start(PROGRAM, &arguments, 1)
}

fn start_entry(platform: SocketAddr) -> Process {
    let platform = platform.to_string();
    let arguments = [
        "entry",
        "--name",
        "entry-0",
        "--data-centre",
        "north",
        "--listen",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--platform",
        &platform,
        "--secret",
        SECRET,
        "--leave-notice",
        "50ms",
    ];
    Process::start(PROGRAM, &arguments, 2)
}

fn start_estate() -> Estate {
    let platform = Process::start(PROGRAM, &["stand-in", "platform"], 1);
    let engine = Process::start(PROGRAM, &["stand-in", "engine"], 1);
    let service = Process::start(PROGRAM, &["stand-in", "service"], 1);
    let ports = free_ports(2);
    let directory =
        std::env::temp_dir().join(format!("filberttrail-{}-{}", std::process::id(), ports[0]));
    std::fs::create_dir_all(&directory).expect("a directory for declarations");
    let key = filberttrail_kernel::digest::sha256_hex(b"a-key");
    let text = format!(
        r#"
initial-preset = "ordinary"
[[data-centres]]
name = "north"
region = "home"
[[groups]]
name = "drafting"
model = "draft"
experts = 4
slots = 4
[[services]]
name = "counter"
[[upstreams]]
name = "engine"
data-centre = "north"
address = "127.0.0.1:{}"
group = "drafting"
[[upstreams]]
name = "counter-0"
data-centre = "north"
address = "127.0.0.1:{}"
service = "counter"
[[teams]]
name = "brewers"
key-sha256 = "{key}"
models = ["*"]
services = ["*"]
[[presets]]
name = "ordinary"
in-flight = 64
queue = 16
queue-wait-ms = 2000
retry-percent = 10
"#,
        ports[0], ports[1]
    );
    std::fs::write(directory.join("estate.toml"), text).expect("declarations are written");
    let platform_address = platform.address("listens");
    let path = directory.display().to_string();
    let applied = std::process::Command::new(PROGRAM)
        .args(["apply", &path, "--platform", &platform_address.to_string()])
        .output()
        .expect("apply runs");
    assert!(applied.status.success(), "{applied:?}");
    let upstream_addresses = vec![engine.address("listens"), service.address("listens")];
    let sidecars = vec![
        start_sidecar("engine", ports[0], upstream_addresses[0], platform_address),
        start_sidecar("counter-0", ports[1], upstream_addresses[1], platform_address),
    ];
    let entry = start_entry(platform_address);
    Estate {
        platform,
        service,
        sidecars,
        entry,
        _engine: engine,
        directory,
        sidecar_ports: ports,
        upstream_addresses,
    }
}

impl Drop for Estate {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn wait_until_served(caller: &Caller, entry: SocketAddr) {
    for _ in 0..400 {
        let response = caller.complete(entry, "are you there", 1, false).await;
        let service_response =
            caller.call_service(entry, "/services/counter/meters/1", None, "").await;
        let is_served = |response: &hyper::Response<bytes::Bytes>| response.status() != 503;
        if response.as_ref().is_ok_and(is_served) && service_response.as_ref().is_ok_and(is_served)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the estate does not serve");
}

#[tokio::test]
async fn serves_a_stream_and_a_payment_through_separate_processes() {
    let estate = start_estate();
    let entry = estate.entry.address("callers");
    let caller = Caller::new("a-key");
    wait_until_served(&caller, entry).await;
    let response =
        caller.complete(entry, "explain the notice", 20, true).await.expect("a response");
    let streamed = parse_streamed_text(response.body()).expect("a complete stream");
    assert_eq!(streamed, text::generate("explain the notice", 20));
    let path = "/services/counter/payments";
    let payment = caller.call_service(entry, path, Some("notice-17"), r#"{"amount":12}"#).await;
    assert_eq!(payment.expect("a response").status(), 201);
}

#[tokio::test]
async fn replays_a_payment_after_the_entry_and_sidecars_are_killed() {
    let mut estate = start_estate();
    let entry = estate.entry.address("callers");
    let caller = Caller::new("a-key");
    wait_until_served(&caller, entry).await;
    let path = "/services/counter/payments";
    let body = r#"{"amount":12}"#;
    let first =
        caller.call_service(entry, path, Some("notice-18"), body).await.expect("a response");
    assert_eq!(first.status(), 201);
    let platform = estate.platform.address("listens");
    estate.sidecars.drain(..).for_each(Process::kill);
    let names = ["engine", "counter-0"];
    for (index, name) in names.iter().enumerate() {
        let (port, upstream) = (estate.sidecar_ports[index], estate.upstream_addresses[index]);
        estate.sidecars.push(start_sidecar(name, port, upstream, platform));
    }
    let replacement = start_entry(platform);
    std::mem::replace(&mut estate.entry, replacement).kill();
    let entry = estate.entry.address("callers");
    wait_until_served(&caller, entry).await;
    let replay =
        caller.call_service(entry, path, Some("notice-18"), body).await.expect("a response");
    assert_eq!(replay.status(), 201);
    assert_eq!(replay.body(), first.body());
    assert_eq!(replay.headers()["filberttrail-replayed"], "true");
    let counts = caller.request("GET", "/control/counts", &[], "");
    let service = estate.service.address("listens");
    let counts = caller.call(service, counts, Duration::from_secs(5)).await.expect("counts");
    let counts: serde_json::Value = serde_json::from_slice(counts.body()).expect("JSON");
    assert_eq!(counts["payment:notice-18"], 1);
}

#[tokio::test]
async fn a_frozen_sidecar_does_not_run_a_request_that_was_reported_as_not_run() {
    let estate = start_estate();
    let entry = estate.entry.address("callers");
    let caller = Caller::new("a-key");
    wait_until_served(&caller, entry).await;
    estate.sidecars[1].signal(ProcessSignal::SIGSTOP);
    let path = "/services/counter/payments";
    let response =
        caller.call_service(entry, path, None, r#"{"amount":1}"#).await.expect("a response");
    let status = response.status();
    let problem: serde_json::Value = serde_json::from_slice(response.body()).expect("a problem");
    estate.sidecars[1].signal(ProcessSignal::SIGCONT);
    wait_until_served(&caller, entry).await;
    let service = estate.service.address("listens");
    let counts = caller.request("GET", "/control/counts", &[], "");
    let counts = caller.call(service, counts, Duration::from_secs(5)).await.expect("counts");
    let counts: std::collections::BTreeMap<String, u64> =
        serde_json::from_slice(counts.body()).expect("JSON");
    assert!(counts.values().all(|count| *count <= 1), "{counts:?}");
    if problem["ran"] == "no" {
        assert!(counts.is_empty(), "reported as not run with {status}, but {counts:?}");
    }
}

#[tokio::test]
async fn a_second_stop_signal_does_not_cut_off_a_stream_in_flight() {
    let estate = start_estate();
    let entry = estate.entry.address("callers");
    let caller = Caller::new("a-key");
    wait_until_served(&caller, entry).await;
    let streaming = tokio::spawn(async move {
        Caller::new("a-key").complete(entry, "a long notice", 150, true).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    estate.entry.signal(ProcessSignal::SIGTERM);
    estate.sidecars[0].signal(ProcessSignal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    estate.entry.signal(ProcessSignal::SIGTERM);
    estate.sidecars[0].signal(ProcessSignal::SIGTERM);
    let response = streaming.await.expect("the caller ends").expect("a response");
    let streamed = parse_streamed_text(response.body()).expect("a complete stream");
    assert_eq!(streamed, text::generate("a long notice", 150));
}

#[tokio::test]
async fn dev_writes_its_ready_file_and_exits_cleanly_on_a_signal() {
    for signal in [ProcessSignal::SIGINT, ProcessSignal::SIGTERM] {
        let file = std::env::temp_dir().join(format!("filberttrail-ready-{}", std::process::id()));
        let path = file.display().to_string();
        let arguments = ["dev", "--ready-file", &path, "--log-level", "off"];
        let dev = Process::start(PROGRAM, &arguments, 5);
        let mut text = std::fs::read(&file);
        for _ in 0..200 {
            if text.is_ok() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            text = std::fs::read(&file);
        }
        let ready: filberttrail_dev::ReadyFile =
            serde_json::from_slice(&text.expect("a ready file")).expect("its JSON");
        assert_eq!((ready.callers.len(), ready.teams.len()), (3, 10));
        assert_eq!(ready.services[0], "counter");
        let (_, key) = ready.teams.first_key_value().expect("a team");
        let entry = ready.callers[1].strip_prefix("http://").and_then(|at| at.parse().ok());
        let caller = Caller::new(key);
        let response = caller.complete(entry.expect("an address"), "ready", 3, true).await;
        assert!(parse_streamed_text(response.expect("a response").body()).is_some());
        dev.signal(signal);
        assert_eq!(dev.stop().and_then(|status| status.code()), Some(0));
        let _ = std::fs::remove_file(&file);
    }
}

#[test]
fn a_daemon_keeps_running_when_its_standard_output_is_closed() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut child = std::process::Command::new(PROGRAM)
        .args(["stand-in", "service"])
        .stdout(writer)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut errors = std::io::BufReader::new(child.stderr.take().expect("standard error"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut errors, &mut line).expect("a line");
    assert!(line.contains("standard output"), "{line}");
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(child.id() as i32),
        nix::sys::signal::Signal::SIGTERM,
    )
    .expect("the daemon still runs");
    assert_eq!(child.wait().expect("an end").code(), Some(0));
}
