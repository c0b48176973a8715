//! Detects panics of tasks, which end without failing the test that started them.

use std::collections::HashMap;
use std::panic;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::thread::{self, ThreadId};

/// Number of panics, by thread. The panic hook is installed on first use.
static COUNTS: LazyLock<Mutex<HashMap<ThreadId, usize>>> = LazyLock::new(|| {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |information| {
        *lock().entry(thread::current().id()).or_default() += 1;
        default_hook(information);
    }));
    Mutex::default()
});

fn lock() -> MutexGuard<'static, HashMap<ThreadId, usize>> {
    COUNTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts the panics of the thread that created it, including those of the tasks that a
/// single-threaded runtime runs on that thread.
pub struct Panics {
    thread: ThreadId,
    before: usize,
}

impl Panics {
    /// Starts to count.
    pub fn watch() -> Self {
        let thread = thread::current().id();
        let before = lock().get(&thread).copied().unwrap_or_default();
        Self { thread, before }
    }

    /// Returns the number of panics since the start.
    pub fn count(&self) -> usize {
        lock().get(&self.thread).copied().unwrap_or_default() - self.before
    }
}
