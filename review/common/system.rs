//! Starts and ends the project's programs, and writes the record of a run.

use std::fs;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Instant;

pub const PROGRAM: &str = "target/release/filberttrail";

/// The processes of the system that run, by name. All are killed when it is dropped.
#[derive(Default)]
pub struct Processes(Mutex<Vec<(String, Child)>>);

impl Processes {
    /// Starts a program of the deploy file with a settings file.
    pub fn start(&self, name: &str, arguments: &[&str], settings: &Path) {
        let open = |suffix: &str| {
            let file = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(settings.with_extension(suffix));
            file.map_or(Stdio::null(), Stdio::from)
        };
        let child = Command::new(PROGRAM)
            .args(arguments)
            .env("FILBERTTRAIL_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(open("out"))
            .stderr(open("err"))
            .spawn();
        match child {
            Ok(child) => self.0.lock().unwrap().push((name.to_string(), child)),
            Err(error) => {
                eprintln!("cannot start {PROGRAM}: {error}");
                self.kill_all();
                std::process::exit(2);
            }
        }
    }

    /// Kills the processes whose names `select` accepts (SIGKILL), and waits for their ends. Returns how many
    /// were killed.
    pub fn kill(&self, select: impl Fn(&str) -> bool) -> usize {
        let mut running = self.0.lock().unwrap();
        let (mut killed, kept): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|(name, _)| select(name));
        *running = kept;
        for (_, child) in &mut killed {
            let _ = child.kill();
        }
        for (_, child) in &mut killed {
            let _ = child.wait();
        }
        killed.len()
    }

    pub fn kill_all(&self) -> usize {
        self.kill(|_| true)
    }

    /// Returns the process ids, by name.
    pub fn ids(&self) -> Vec<(String, u32)> {
        self.0.lock().unwrap().iter().map(|(name, child)| (name.clone(), child.id())).collect()
    }

    /// Returns and forgets the processes that have ended by themselves.
    pub fn take_ended(&self) -> Vec<String> {
        let mut running = self.0.lock().unwrap();
        let mut ended = Vec::new();
        running.retain_mut(|(name, child)| match child.try_wait() {
            Ok(None) => true,
            status => {
                ended.push(format!("{name} {status:?}"));
                false
            }
        });
        ended
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// The record of a run.
pub struct Record {
    began: Instant,
    lines: Mutex<fs::File>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = fs::File::create(Path::new(folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| {
            eprintln!("cannot write the record: {error}");
            std::process::exit(2);
        });
        Self { began: Instant::now(), lines: Mutex::new(file) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.lines.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Creates an empty temporary folder for settings and logs.
pub fn scratch(label: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{label}-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        eprintln!("cannot create a temporary folder: {error}");
        std::process::exit(2);
    }
    folder
}

/// Returns a port that is free at all these addresses, for TCP and UDP, with the one above it.
pub fn common_port(addresses: &[IpAddr], seed: u16) -> u16 {
    let base = 21_000 + (std::process::id() as u16 % 900) * 10 + seed * 37;
    let free = |port: u16| {
        addresses.iter().all(|address| {
            let address = SocketAddr::new(*address, port);
            TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok()
        })
    };
    let ports = (0..2_000).map(|step| base + step * 2);
    ports.into_iter().find(|port| free(*port) && free(*port + 1)).expect("a free port")
}

pub fn free_port(address: IpAddr) -> u16 {
    let listener = TcpListener::bind(SocketAddr::new(address, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// The bounds of the small deployments.
pub const BOUNDS: &str = r#"{"seedLagS":3,"reuseAfterS":2,"stabilityWindowMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerBoundMs":5000,"revokeWhenPartitioned":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":94,"coldOvershoot":1.5,"coldSlack":5,"evacuationMs":5000,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"requireFencing":false}"#;

/// Returns the settings of a process on a machine; `own` are the fields that only its class has.
pub fn settings(
    node: &str,
    class: &str,
    ip: IpAddr,
    zone: &str,
    store: SocketAddr,
    ports: (u16, u16),
    own: &str,
) -> String {
    let limits = match class {
        "front" => {
            r#"{"cpuShare":0.25,"cores":1,"memoryMb":260,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0}"#
        }
        _ => {
            r#"{"cpuShare":0.15,"cores":1,"memoryMb":128,"fileDescriptors":2048,"linkMbps":20.0,"diskMb":0}"#
        }
    };
    format!(
        r#"{{"node":"{node}","role":"{class}","machineClass":"{class}","serves":["{class}"],"ipAddress":"{ip}","zone":"{zone}","region":"coast","zones":{{"north":"coast","south":"coast","east":"coast"}},"internalPorts":[{},{}],"seeds":[],"bootstrap":true,"includeInTolerance":false,"limits":{limits},"dataDirectory":null,"discovery":"platform","entry":"virtual_ip","heartbeatIntervalMs":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"],"tolerate":{{"machines":2,"zones":1,"regions":0}},"bounds":{BOUNDS},"platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"minTtlMs":1000}},{own}}}"#,
        ports.0, ports.1
    )
}
