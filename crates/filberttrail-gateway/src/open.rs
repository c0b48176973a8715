//! A caller's request while it is open.

use crate::Hub;
use filberttrail_journal::journal::Priority;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request that has not ended; one that is dropped before its end is noted as cut.
pub struct Open {
    hub: Arc<Hub>,
    request: String,
    arrived: Duration,
    ended: AtomicBool,
}

impl Open {
    /// Notes nothing yet.
    pub fn new(hub: Arc<Hub>, request: impl Into<String>, arrived: Duration) -> Self {
        Self { hub, request: request.into(), arrived, ended: AtomicBool::new(false) }
    }

    /// Says that the request has ended with an answer, or with a line of its own.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        let took = self.hub.now().saturating_sub(self.arrived);
        let cause = if self.hub.has_stopped() { "stopped" } else { "caller left" };
        self.hub.metrics.note_answer(cause, took);
        let fields = json!({
            "request": self.request, "cause": cause, "took_ms": took.as_millis() as u64,
        });
        self.hub.journal.record(Priority::Important, "cut", fields);
    }
}
