//! A log of JSON lines that are buffered and written to standard output without blocking.

use filberttrail_kernel::clock;
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use serde_json::{Map, Value};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// The maximum size of the buffer, in bytes.
const BUFFER_LIMIT: usize = 256 << 10;
/// The buffer size above which ordinary lines are dropped, in bytes, to reserve space for important
/// ones.
const BUFFER_LIMIT_ORDINARY: usize = 192 << 10;
/// The interval between writes, which limits the cost of wake-ups and system calls.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// The priority of a line when the buffer is nearly full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A successful request; dropped first.
    Ordinary,
    /// A failure, a rejection or a change of state.
    Important,
}

#[derive(Debug, Default)]
struct Lines {
    buffered: VecDeque<u8>,
    dropped: u64,
}

/// A structured log of one process, with one JSON object per line.
#[derive(Clone)]
pub struct Journal {
    node: String,
    clock: clock::Shared,
    lines: Arc<Mutex<Lines>>,
    /// Notified when the buffer has lines to write, so that an idle process is not woken.
    filled: Arc<Notify>,
}

impl Journal {
    /// Creates an empty journal; `node` is the process's name in each line.
    pub fn new(node: impl Into<String>, clock: clock::Shared) -> Self {
        Self { node: node.into(), clock, lines: Arc::default(), filled: Arc::default() }
    }

    /// Appends a line with the time, in milliseconds since the clock's origin, the node, the event
    /// and `fields`, which must be a JSON object.
    ///
    /// Drops and counts the line if the buffer has no space for its priority.
    pub fn record(&self, priority: Priority, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("t".into(), (self.clock.now().as_millis() as u64).into());
        line.insert("node".into(), self.node.clone().into());
        line.insert("event".into(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let text = Value::Object(line).to_string();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let limit =
            if priority == Priority::Important { BUFFER_LIMIT } else { BUFFER_LIMIT_ORDINARY };
        if lines.buffered.len() + text.len() >= limit {
            lines.dropped += 1;
            return;
        }
        lines.buffered.extend(text.as_bytes());
        lines.buffered.push_back(b'\n');
        drop(lines);
        self.filled.notify_one();
    }

    /// Returns the number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }

    /// Removes and returns the buffered lines.
    pub fn take(&self) -> Vec<u8> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.buffered.drain(..).collect()
    }

    /// Writes buffered lines to standard output at intervals while there are some, until the future
    /// is dropped.
    ///
    /// Lines are dropped if standard output is read too slowly.
    pub async fn run(self) {
        if let Err(error) = set_nonblocking() {
            log::warn!("cannot set standard output to non-blocking mode: {error}");
        }
        loop {
            self.filled.notified().await;
            tokio::time::sleep(FLUSH_PERIOD).await;
            self.flush();
            let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            if !lines.buffered.is_empty() {
                self.filled.notify_one();
            }
        }
    }

    /// Writes as much as standard output accepts without blocking.
    pub fn flush(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        while !lines.buffered.is_empty() {
            let (front, _) = lines.buffered.as_slices();
            match nix::unistd::write(std::io::stdout(), front) {
                Ok(written) if written > 0 => drop(lines.buffered.drain(..written)),
                _ => return,
            }
        }
    }
}

fn set_nonblocking() -> nix::Result<()> {
    let flags = fcntl(std::io::stdout(), FcntlArg::F_GETFL)?;
    let flags = OFlag::from_bits_truncate(flags) | OFlag::O_NONBLOCK;
    fcntl(std::io::stdout(), FcntlArg::F_SETFL(flags)).map(drop)
}
