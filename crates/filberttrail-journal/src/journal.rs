//! A bounded buffer of lines in front of standard output.

use filberttrail_kernel::clock;
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use serde_json::{Map, Value};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bytes that may wait to be written.
const ROOM: usize = 256 << 10;
/// Bytes above which ordinary lines are dropped, so that failures still find room.
const ROOM_ORDINARY: usize = 192 << 10;
/// The pause between writes; each write costs a wake-up and a system call.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// How much a line matters when there is no room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A request that went well.
    Ordinary,
    /// A failure, a refusal or a changed belief.
    Important,
}

#[derive(Debug, Default)]
struct Lines {
    waiting: VecDeque<u8>,
    dropped: u64,
}

/// A log of decisions.
#[derive(Clone)]
pub struct Journal {
    node: String,
    clock: clock::Shared,
    lines: Arc<Mutex<Lines>>,
}

impl Journal {
    /// Starts an empty journal of a node.
    pub fn new(node: impl Into<String>, clock: clock::Shared) -> Self {
        Self { node: node.into(), clock, lines: Arc::default() }
    }

    /// Notes an event with its fields, an object in JSON.
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
        let room = if priority == Priority::Important { ROOM } else { ROOM_ORDINARY };
        if lines.waiting.len() + text.len() >= room {
            lines.dropped += 1;
            return;
        }
        lines.waiting.extend(text.as_bytes());
        lines.waiting.push_back(b'\n');
    }

    /// Returns how many lines found no room.
    pub fn dropped(&self) -> u64 {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }

    /// Takes what waits to be written.
    pub fn take(&self) -> Vec<u8> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.waiting.drain(..).collect()
    }

    /// Writes to standard output until dropped. A reader that is too slow loses lines.
    pub async fn run(self) {
        if let Err(fault) = set_nonblocking() {
            log::warn!("standard output stays blocking: {fault}");
        }
        loop {
            tokio::time::sleep(FLUSH_PERIOD).await;
            self.flush();
        }
    }

    /// Writes what standard output takes now.
    pub fn flush(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        while !lines.waiting.is_empty() {
            let (front, _) = lines.waiting.as_slices();
            match nix::unistd::write(std::io::stdout(), front) {
                Ok(written) if written > 0 => drop(lines.waiting.drain(..written)),
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
