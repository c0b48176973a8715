//! The rebalancer process under test, with a stand-in store.

use crate::limits::{Limits, Watch};
use filberttrail_platform_stand_in::{Store, caller};
use filberttrail_test_support::process::{Process, free_ports};
use filberttrail_web::Client;
use hyper::{Method, StatusCode};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// A call for the state of a rank, in CBOR without its last field: `by` and `query`.
const CALL: &[u8] = b"\x62by\x00\x65query\xa1\x65State\xa2\x66counts\xf4\x67holding\xf4";
/// The engine address 127.0.0.2:9 in CBOR.
const SILENT_ENGINE: &[u8] = b"\xa1\x62V4\x82\x84\x18\x7f\x00\x00\x02\x09";
/// How often a coordinator asks until it gets its answer.
const TRIES: usize = 40;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after which a try counts as one without an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A running rebalancer.
pub struct Rebalancer {
    process: Process,
    /// Address for other rebalancers.
    pub address: SocketAddr,
    /// A rebalancer of another VM that accepts connections and answers nothing.
    _silent: TcpListener,
    _store: Store,
}

impl Rebalancer {
    /// Starts a rebalancer with lowered limits and waits until it answers.
    pub async fn start() -> Self {
        let store = Store::start().await;
        let ports = free_ports(2);
        let address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let silent = TcpListener::bind(SocketAddr::from(([127, 0, 0, 2], ports[0])));
        let engine = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        let internal = [ports[0], ports[0]];
        let mut settings = caller::rebalancer_settings("side-1", internal, engine, store.address);
        settings["limits"]["memoryMb"] = json!(Limits::MEMORY_MB);
        settings["limits"]["fileDescriptors"] = json!(Limits::DESCRIPTORS);
        let name = format!("crowds-inputs-{}-{}.json", std::process::id(), ports[0]);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = std::fs::File::create(path.with_extension("log")).expect("a log file");
        let path = path.display().to_string();
        let arguments = ["rebalancer", "--settings", &path];
        let process = Process::start_logged(env!("CARGO_BIN_EXE_filberttrail"), &arguments, log)
            .expect("the rebalancer starts");
        let silent = silent.expect("a second loopback address");
        let rebalancer = Self { process, address, _silent: silent, _store: store };
        assert!(rebalancer.answers().await, "the rebalancer does not answer");
        rebalancer
    }

    /// Returns a request with a call that names this many ranks, all on the silent VM.
    pub fn call_naming_members(&self, members: u16) -> Vec<u8> {
        let mut body = vec![0xa3];
        body.extend(CALL);
        body.extend(b"\x67members\x99");
        body.extend(members.to_be_bytes());
        for rank in 0..members {
            body.extend([0x82, 0x19]);
            body.extend(rank.to_be_bytes());
            body.extend(SILENT_ENGINE);
        }
        let length = body.len();
        let head =
            format!("POST / HTTP/1.1\r\nHost: rebalancer\r\nContent-Length: {length}\r\n\r\n");
        [head.into_bytes(), body].concat()
    }

    /// Starts to count the descriptors of the process.
    pub fn watch_descriptors(&self) -> Watch {
        Watch::new(vec![self.process.id()])
    }

    /// Waits until the process reads nothing more of what a crowd has sent.
    pub async fn wait_until_read(&self) {
        Limits::wait_until_read(self.process.id(), self.address).await;
    }

    /// Checks that the process lives within its limits and that an ordinary call is answered.
    pub async fn check(&mut self, crowd: &str) {
        Limits::check(&mut self.process, crowd, "rebalancer");
        assert!(self.answers().await, "{crowd}: no answer to an ordinary call");
        Limits::check(&mut self.process, crowd, "rebalancer");
    }

    async fn answers(&self) -> bool {
        let body = [b"\xa2", CALL].concat();
        for _ in 0..TRIES {
            let client = Client::new();
            let call =
                client.call(self.address, Method::POST, "/", body.clone(), TIMEOUT, 1 << 20).await;
            if call.is_ok_and(|response| response.status() == StatusCode::OK) {
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}
