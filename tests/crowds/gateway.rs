//! The gateway process under test, with a stand-in store and a stand-in upstream.

use crate::BODY_LIMIT;
use filberttrail_platform_stand_in::{Call, Kind, Script, Store, Upstream, caller};
use filberttrail_test_support::process::{Process, free_ports};
use filberttrail_test_support::usage::{Buffered, Usage};
use filberttrail_web::Client;
use hyper::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The key of all callers.
pub const KEY: &str = "key-of-crowds";
/// Memory of the gateway's VM in its settings, in megabytes.
const MEMORY_MB: u64 = 64;
/// File descriptors of the gateway in its settings.
const DESCRIPTORS: usize = 400;
/// Timeout of all routes, in milliseconds: so long that the crowd's requests stay open.
const ROUTE_TIMEOUT_MS: u64 = 60_000;
/// Interval at which the crowd's bytes are counted until they no longer change.
const SETTLING: Duration = Duration::from_secs(1);
/// Processor time in this interval below which the gateway has nothing to do, in ticks of 10 ms.
const IDLE_TICKS: u64 = 20;
/// How often an ordinary caller asks until it gets its answer.
const TRIES: usize = 40;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after which a try counts as one without an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A running gateway.
pub struct Gateway {
    process: Process,
    upstream: Upstream,
    _store: Store,
    /// Address for callers.
    pub front: SocketAddr,
    /// Addresses for other entries, for the readiness probe and for metrics.
    pub internal: [SocketAddr; 3],
}

impl Gateway {
    /// Starts a gateway with lowered limits and waits until it is ready.
    pub async fn start() -> Self {
        let store = Store::start().await;
        let mut configuration = caller::configuration(1, &[KEY]);
        configuration["limits"]["maxBodyBytes"] = json!(BODY_LIMIT);
        for route in configuration["routes"].as_array_mut().into_iter().flatten() {
            route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
        }
        store.write("config", "main", configuration);
        let upstream = Upstream::start("u-1").await;
        let mut registration = upstream.registration("desk", "noord");
        registration["slots"] = json!(200);
        store.write("servers", "u-1", registration);
        let ports = free_ports(4);
        let local = |port: usize| SocketAddr::from(([127, 0, 0, 1], ports[port]));
        let grace = Duration::from_secs(8);
        let mut settings = caller::gateway_settings(
            "gateway-1",
            "noord",
            [local(0), local(1)],
            [ports[2], ports[2]],
            store.address,
            caller::bounds(grace, 0.2, 90.0, Duration::from_secs(10)),
        );
        settings["limits"]["memoryMb"] = json!(MEMORY_MB);
        settings["limits"]["fileDescriptors"] = json!(DESCRIPTORS);
        let name = format!("crowds-{}-{}.json", std::process::id(), ports[0]);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = std::fs::File::create(path.with_extension("log")).expect("a log file");
        let (path, metrics) = (path.display().to_string(), ports[3].to_string());
        let arguments = ["gateway", "--settings", &path, "--metrics-port", &metrics];
        let process = Process::start_logged(env!("CARGO_BIN_EXE_filberttrail"), &arguments, log)
            .expect("the gateway starts");
        let internal = [local(2), local(1), local(3)];
        let gateway = Self { process, upstream, _store: store, front: local(0), internal };
        while gateway.ready_status().await != Some(StatusCode::OK) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        gateway
    }

    /// Lets the upstream answer the next requests with bodies of this size.
    pub fn answer_large(&self, requests: usize, size: usize) {
        self.upstream.script(&vec![Script::AnswerSized(size); requests]);
    }

    /// Waits until the upstream has run this many requests, or no more of them come.
    pub async fn wait_for_runs(&self, requests: usize) {
        let mut runs = 0;
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = self.upstream.runs().len();
            if now >= requests || now == runs {
                return;
            }
            runs = now;
        }
    }

    /// Waits until the gateway reads nothing more of what the crowd has sent, and has nothing to do.
    pub async fn wait_until_read(&self, address: SocketAddr) {
        let (mut last, mut last_ticks) = (Buffered::default(), 0);
        loop {
            tokio::time::sleep(SETTLING).await;
            let buffered = Buffered::read(address);
            let ticks = Usage::read(self.process.id()).map_or(last_ticks, |usage| usage.ticks);
            if buffered == last && ticks < last_ticks + IDLE_TICKS {
                return;
            }
            (last, last_ticks) = (buffered, ticks);
        }
    }

    /// Checks that the process lives within its limits and answers ordinary callers.
    pub async fn check(&mut self, crowd: &str) {
        self.check_usage(crowd);
        self.upstream.clear_scripts();
        let call = Call {
            id: "ordinary-1".to_string(),
            kind: Kind::Pay,
            key: KEY.to_string(),
            timeout: Duration::from_secs(4),
        };
        assert!(self.is_answered(&call).await, "{crowd}: no answer to an ordinary request");
        let call = Call { id: "ordinary-2".to_string(), kind: Kind::Stream, ..call };
        assert!(self.is_answered(&call).await, "{crowd}: no answer to an ordinary stream");
        self.check_usage(crowd);
    }

    fn check_usage(&mut self, crowd: &str) {
        let ended = self.process.exit_status();
        assert_eq!(ended, None, "{crowd}: the gateway has ended");
        let usage = Usage::read(self.process.id()).expect("the gateway runs");
        let addresses = [self.front].into_iter().chain(self.internal);
        let unread: u64 = addresses.map(|address| Buffered::read(address).unread).sum();
        println!("{crowd}: {usage:?}, {unread} bytes not read");
        let memory = usage.peak_memory + unread;
        assert!(memory <= MEMORY_MB * 1_000_000, "{crowd}: {memory} bytes of memory");
        assert!(usage.descriptors <= DESCRIPTORS, "{crowd}: {} descriptors", usage.descriptors);
    }

    async fn is_answered(&self, call: &Call) -> bool {
        for number in 0..TRIES {
            let mut call = call.clone();
            call.id = format!("{}-{number}", call.id);
            let response = Client::new().fetch(self.front, call.request(), TIMEOUT, 1 << 20).await;
            if let Ok(response) = response
                && response.status() == StatusCode::OK
            {
                assert!(call.is_answered_by(response.headers()));
                assert_eq!(response.body(), call.expected_body().as_bytes());
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    async fn ready_status(&self) -> Option<StatusCode> {
        let path = filberttrail_platform_stand_in::caller::READINESS_PATH;
        let client = Client::new();
        let response =
            client.call(self.internal[1], Method::GET, path, Vec::new(), TIMEOUT, 1_024).await;
        response.ok().map(|response| response.status())
    }
}
