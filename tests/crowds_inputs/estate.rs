//! An entry and a sidecar with lowered limits, a stand-in platform, and an upstream of the test.

use crate::limits::{Limits, Watch};
use filberttrail_dev::Caller;
use filberttrail_test_support::process::{Process, free_ports};
use filberttrail_web::{Body, Request, Response, server};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// The key of all callers.
pub const KEY: &str = "a-key";
/// Size of the large responses of the upstream, in bytes.
pub const LARGE_BYTES: usize = 3 << 20;

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");
const SECRET: &str = "0123456789abcdef";
/// How often an ordinary caller asks until it gets its answer.
const TRIES: usize = 40;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after which a try counts as one without an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The running processes.
pub struct Estate {
    entry: Process,
    sidecar: Process,
    _platform: Process,
    /// Address of the sidecar for entries.
    pub sidecar_frames: SocketAddr,
    large_bytes: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

impl Estate {
    /// Starts all processes and waits until the entry answers.
    pub async fn start() -> Self {
        let large_bytes = Arc::new(AtomicUsize::new(0));
        let (stop, stopped) = watch::channel(false);
        let upstream = start_upstream(large_bytes.clone(), stopped).await;
        let platform = Process::start(PROGRAM, &["stand-in", "platform"], 1);
        let platform_address = platform.address("listens");
        let frames = SocketAddr::from(([127, 0, 0, 1], free_ports(1)[0]));
        apply(platform_address, frames);
        let sidecar = start_limited(
            &[
                "sidecar",
                "--name",
                "counter-0",
                "--listen",
                &frames.to_string(),
                "--upstream",
                &upstream.to_string(),
            ],
            platform_address,
            1,
        );
        let entry = start_limited(
            &["entry", "--name", "entry-0", "--data-centre", "north", "--listen", "127.0.0.1:0"],
            platform_address,
            2,
        );
        let estate = Self {
            entry,
            sidecar,
            _platform: platform,
            sidecar_frames: frames,
            large_bytes,
            _stop: stop,
        };
        assert!(estate.answers().await, "the estate does not answer");
        estate
    }

    /// Returns the address of the entry for callers.
    pub fn callers(&self) -> SocketAddr {
        self.entry.address("callers")
    }

    /// Returns the address of the entry for operators.
    pub fn entry_admin(&self) -> SocketAddr {
        self.entry.address("admin")
    }

    /// Returns the address of the sidecar for operators.
    pub fn sidecar_admin(&self) -> SocketAddr {
        self.sidecar.address("admin")
    }

    /// Starts to count the descriptors of the entry and the sidecar.
    pub fn watch_descriptors(&self) -> Watch {
        Watch::new(vec![self.entry.id(), self.sidecar.id()])
    }

    /// Waits until the upstream has begun responses of this size in all, or begins no more.
    pub async fn wait_for_large_responses(&self, size: usize) {
        let mut begun = 0;
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = self.large_bytes.load(Ordering::Relaxed);
            if now >= size || (now > 0 && now == begun) {
                // The last ones are still on their way.
                tokio::time::sleep(Duration::from_secs(1)).await;
                return;
            }
            begun = now;
        }
    }

    /// Waits until the entry and the sidecar read nothing more of what a crowd has sent.
    pub async fn wait_until_read(&self, address: SocketAddr) {
        Limits::wait_until_read(self.entry.id(), address).await;
        Limits::wait_until_read(self.sidecar.id(), address).await;
    }

    /// Checks that both processes live within their limits and that an ordinary call is answered.
    pub async fn check(&mut self, crowd: &str) {
        self.check_usage(crowd);
        assert!(self.answers().await, "{crowd}: no answer to an ordinary call");
        self.check_usage(crowd);
    }

    fn check_usage(&mut self, crowd: &str) {
        Limits::check(&mut self.entry, crowd, "entry");
        Limits::check(&mut self.sidecar, crowd, "sidecar");
    }

    async fn answers(&self) -> bool {
        for _ in 0..TRIES {
            let caller = Caller::new(KEY);
            let request = caller.request("POST", "/services/counter/payments", &[], "{}");
            let response = caller.call(self.callers(), request, TIMEOUT).await;
            if response.is_ok_and(|response| response.status() == StatusCode::CREATED) {
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}

/// Starts an entry or a sidecar. The limits are passed as environment variables, which a process that
/// lacks them ignores.
fn start_limited(arguments: &[&str], platform: SocketAddr, lines: usize) -> Process {
    let memory = format!("FILBERTTRAIL_MEMORY_MB={}", Limits::MEMORY_MB);
    let platform = platform.to_string();
    let mut all = vec![memory.as_str(), "FILBERTTRAIL_CONNECTIONS=200", PROGRAM];
    all.extend(arguments);
    all.extend(["--admin", "127.0.0.1:0", "--platform", &platform, "--secret", SECRET]);
    Process::start("env", &all, lines)
}

/// Puts the declarations of one service in force.
fn apply(platform: SocketAddr, sidecar: SocketAddr) {
    let name = format!("crowds-inputs-{}-{}", std::process::id(), sidecar.port());
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory for declarations");
    let key = filberttrail_kernel::digest::sha256_hex(KEY.as_bytes());
    let text = format!(
        r#"
initial-preset = "ordinary"
[[data-centres]]
name = "north"
region = "home"
[[services]]
name = "counter"
[[upstreams]]
name = "counter-0"
data-centre = "north"
address = "{sidecar}"
service = "counter"
cold-limit = 200
warm-limit = 200
[[teams]]
name = "brewers"
key-sha256 = "{key}"
models = ["*"]
services = ["*"]
[[presets]]
name = "ordinary"
in-flight = 200
queue = 64
queue-wait-ms = 2000
retry-percent = 10
"#
    );
    std::fs::write(directory.join("estate.toml"), text).expect("declarations are written");
    let path = directory.display().to_string();
    let applied = std::process::Command::new(PROGRAM)
        .args(["apply", &path, "--platform", &platform.to_string()])
        .output()
        .expect("apply runs");
    assert!(applied.status.success(), "{applied:?}");
    let _ = std::fs::remove_dir_all(&directory);
}

/// Starts an upstream that answers `/large` with a large body and all else with a small one.
async fn start_upstream(
    large_bytes: Arc<AtomicUsize>,
    stopped: watch::Receiver<bool>,
) -> SocketAddr {
    let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = move |request: Request| {
        let large_bytes = large_bytes.clone();
        async move {
            if request.uri().path() == "/load" {
                let mut response = Response::new(Body::empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            }
            if request.uri().path() != "/large" {
                let mut response = Response::new(Body::new("paid"));
                *response.status_mut() = StatusCode::CREATED;
                return response;
            }
            large_bytes.fetch_add(LARGE_BYTES, Ordering::Relaxed);
            Response::new(Body::new(vec![b'x'; LARGE_BYTES]))
        }
    };
    tokio::spawn(server::serve(listener, server::Limits::default(), stopped, answer));
    address
}
