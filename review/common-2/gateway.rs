//! The project's gateway as a process, with settings like those of a small deployment.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Memory of a machine of class `front`, in megabytes, and its descriptors.
pub const MEMORY_MB: u64 = 260;
pub const DESCRIPTORS: u64 = 4_200;

pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// Returns different free ports.
pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address").port()).collect()
}

impl Gateway {
    /// Starts a gateway; its settings and its log are in `folder`.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let ports = free_ports(4);
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready) = (local(ports[0]), local(ports[1]));
        let internal = ports[2];
        let settings = format!(
            r#"{{"node":"{name}","role":"gateway","machineClass":"front","serves":["front"],
"ipAddress":"127.0.0.1","zone":"{zone}","region":"belgie-noord",
"zones":{{"{zone}":"belgie-noord"}},"listen":{{"front":"{front}","ready":"{ready}"}},
"internalPorts":[{internal},{internal}],"seeds":[],"bootstrap":false,"includeInTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{MEMORY_MB},"fileDescriptors":{DESCRIPTORS},"linkMbps":1000.0,"diskMb":0}},
"dataDirectory":null,"discovery":"platform","entry":"virtual_ip","heartbeatIntervalMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"],
"tolerate":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"stabilityWindowMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerBoundMs":5000,"revokeWhenPartitioned":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":90,"coldOvershoot":1.5,"coldSlack":5,"evacuationMs":5000,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"requireFencing":false}},
"platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"minTtlMs":1000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings are written");
        let log = || {
            let path = folder.join(format!("{name}.log"));
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
            Stdio::from(file.expect("a log file"))
        };
        // The command of the deploy file, with a free port for the metrics.
        let child = Command::new("target/release/filberttrail")
            .args(["gateway", "--metrics-port", &ports[3].to_string()])
            .env("FILBERTTRAIL_SETTINGS", &path)
            .stdout(log())
            .stderr(log())
            .spawn()
            .expect("the gateway starts");
        Self { front, ready, child }
    }

    /// Waits until the readiness endpoint answers 200. Returns whether it does within 10 s.
    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if let Ok(mut stream) = TcpStream::connect(self.ready) {
                let request = "GET /filberttrail/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
                let sent = stream.write_all(request.as_bytes()).is_ok();
                let answer = crate::http::read_answer(&stream, Duration::from_secs(1));
                if sent && answer.is_ok_and(|status| status == 200) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration like that of the small deployment: a streaming route to the model engines, an unsafe
/// and a safe one to the counter. Two tenants, with a key each.
pub fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{rest},"service":"{service}","allowAnonymous":false}}"#
        )
    };
    let routes = [
        route(
            "r-1",
            "/note/",
            "streaming",
            "draft",
            8_000,
            r#"400,"priority":1,"maxAttempts":2,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":120"#,
        ),
        route("r-2", "/pay/", "unsafe", "counter", 2_000, r#"300,"priority":2,"maxAttempts":1"#),
        route("r-3", "/read/", "safe", "counter", 2_000, r#"300,"priority":2,"maxAttempts":2"#),
    ];
    let service = |name: &str, connections: u32| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":{connections},"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"ordinary","apiKeys":["key-ordinary"],"priority":1}},{{"name":"crowd","apiKeys":["key-crowd"],"priority":1}}]}}"#,
        routes.join(","),
        service("draft", 278),
        service("counter", 100),
    )
}

/// The registration of an engine, as it writes it itself.
pub fn registration(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    registration_born(service, address, zone, slots, 1_790_000_000_000)
}

/// The same for an engine that started at a time in Unix milliseconds.
pub fn registration_born(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#
    )
}
