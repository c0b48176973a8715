//! Starts and stops the processes of a test, and finds free ports for them.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};

/// A child process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    /// Lines of its standard output that were read at its start.
    pub lines: Vec<String>,
}

impl Process {
    /// Starts a program and waits for this number of lines on its standard output, or for its end.
    /// The program's standard error is discarded.
    pub fn start(program: &str, arguments: &[&str], lines: usize) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {program}: {error}"));
        let output = child.stdout.take().into_iter().flat_map(|out| BufReader::new(out).lines());
        let lines = output.take(lines).map_while(Result::ok).collect();
        Self { child, lines }
    }

    /// Starts a program with its standard output and standard error redirected to a file.
    pub fn start_logged(program: &str, arguments: &[&str], log: File) -> io::Result<Self> {
        let stderr = log.try_clone()?;
        let mut command = Command::new(program);
        let child = command.args(arguments).stdout(log).stderr(stderr).spawn()?;
        Ok(Self { child, lines: Vec::new() })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status of the process, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the socket address of the `http://` URL on the first line with a prefix.
    ///
    /// Panics if no line has the prefix, or if no URL with a socket address follows it.
    pub fn address(&self, prefix: &str) -> SocketAddr {
        let line = self.lines.iter().find_map(|line| line.strip_prefix(prefix));
        let url = line.and_then(|line| line.trim().strip_prefix("http://"));
        url.and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("no address after '{prefix}' in {:?}", self.lines))
    }

    /// Sends a signal; errors are ignored, as the process may have ended.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits for the process to end, without a timeout.
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

/// Range of the ports, below the system's ephemeral ports, so that the system cannot assign one to
/// another socket while a test restarts the process that uses it.
const PORT_RANGE: Range<u16> = 20_000..32_000;
/// Number of ports that a test process claims at a time. The first of them is its claim.
const BLOCK: u16 = 50;

/// Ports that this test process has claimed.
struct Block {
    /// Held until the end of the process. Another one that can't bind it claims another block.
    _claim: TcpListener,
    unused: Range<u16>,
}

impl Block {
    /// Claims the first free block after the one that the id of this process points to.
    fn claim() -> Option<Self> {
        let blocks = (PORT_RANGE.end - PORT_RANGE.start) / BLOCK;
        let first = std::process::id() % u32::from(blocks);
        (0..blocks).find_map(|offset| {
            let number = (first as u16 + offset) % blocks;
            let start = PORT_RANGE.start + number * BLOCK;
            let claim = TcpListener::bind((Ipv4Addr::LOCALHOST, start)).ok()?;
            Some(Self { _claim: claim, unused: start + 1..start + BLOCK })
        })
    }
}

/// The blocks of this process; the last one has unused ports.
static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Returns loopback ports that are free, and that no other test process is given until this one
/// ends. Each call returns other ports.
///
/// # Panics
///
/// If all ports are in use.
pub fn free_ports(count: usize) -> Vec<u16> {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut free = Vec::new();
    while free.len() < count {
        match blocks.last_mut().and_then(|block| block.unused.next()) {
            Some(port) if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() => free.push(port),
            Some(_) => {}
            None => blocks.push(Block::claim().expect("a free block of ports")),
        }
    }
    free
}

pub use nix::sys::signal::Signal as ProcessSignal;
