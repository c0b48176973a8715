//! Processes under test, which are ended with the test.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

/// A running process.
pub struct Process {
    child: Child,
    /// The lines that it printed when it had started.
    pub lines: Vec<String>,
}

impl Process {
    /// Starts a program and reads so many lines of its output.
    pub fn start(program: &str, arguments: &[&str], lines: usize) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|fault| panic!("cannot start {program}: {fault}"));
        let output = child.stdout.take().into_iter().flat_map(|out| BufReader::new(out).lines());
        let lines = output.take(lines).map_while(Result::ok).collect();
        Self { child, lines }
    }

    /// Starts a program whose output goes to a file.
    pub fn start_logged(program: &str, arguments: &[&str], log: File) -> io::Result<Self> {
        let errors = log.try_clone()?;
        let mut command = Command::new(program);
        let child = command.args(arguments).stdout(log).stderr(errors).spawn()?;
        Ok(Self { child, lines: Vec::new() })
    }

    /// Returns how the process ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the address on the line that begins with a word.
    pub fn address(&self, word: &str) -> SocketAddr {
        let line = self.lines.iter().find_map(|line| line.strip_prefix(word));
        let url = line.and_then(|line| line.trim().strip_prefix("http://"));
        url.and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("no '{word}' among {:?}", self.lines))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Ends the process at once.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop, and waits until it has.
    pub fn stop(mut self) -> Option<ExitStatus> {
        self.signal(Signal::SIGTERM);
        self.child.wait().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports below those that the system gives out by itself, so that nobody else is given one while
/// its process is replaced.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Ports of one test process; those of others lie elsewhere in the range.
const STRIDE: u32 = 97;
/// Ports that this process has tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Finds ports on loopback that are free now, and that no other test of this process is given.
pub fn free_ports(count: usize) -> Vec<u16> {
    let first = std::process::id().wrapping_mul(STRIDE);
    let mut free = Vec::new();
    while free.len() < count {
        let tried = u32::from(TRIED.fetch_add(1, Ordering::Relaxed));
        let offset = first.wrapping_add(tried) % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + offset as u16;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            free.push(port);
        }
    }
    free
}

pub use nix::sys::signal::Signal as ProcessSignal;
