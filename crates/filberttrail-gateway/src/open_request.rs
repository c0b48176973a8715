//! A guard that logs requests that are dropped before they end.

use crate::Hub;
use filberttrail_journal::journal::Priority;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request that has not ended yet. If it is dropped before its end, it is logged as cut off.
pub struct OpenRequest {
    hub: Arc<Hub>,
    request_id: String,
    arrived: Duration,
    ended: AtomicBool,
}

impl OpenRequest {
    /// Starts to track a request that arrived at `arrived`.
    pub fn new(hub: Arc<Hub>, request_id: impl Into<String>, arrived: Duration) -> Self {
        Self { hub, request_id: request_id.into(), arrived, ended: AtomicBool::new(false) }
    }

    /// Marks the request as ended, because its response or its failure has been logged.
    pub fn mark_ended(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        let took = self.hub.now().saturating_sub(self.arrived);
        let cause = if self.hub.is_grace_over() { "stopped" } else { "caller left" };
        self.hub.metrics.record_response(cause, took);
        let fields = json!({
            "request": self.request_id, "cause": cause, "took_ms": took.as_millis() as u64,
        });
        self.hub.journal.record(Priority::Important, "cut", fields);
    }
}
