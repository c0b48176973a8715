//! Handles requests to reload a daemon's settings.

use crate::Journal;
use crate::journal::Priority;
use filberttrail_kernel::Result;
use serde_json::json;
use std::fmt::Debug;
use tokio::sync::mpsc;

/// Reads the settings at each request and logs the outcome as a `reload` event.
///
/// Never changes the settings of the running process, since addresses and names cannot change while
/// it runs: changed settings take effect at its next start. Returns when `requests` closes.
pub async fn run<S: PartialEq + Debug>(
    journal: Journal,
    current: S,
    mut requests: mpsc::Receiver<()>,
    reread: impl Fn() -> Result<S>,
) {
    while requests.recv().await.is_some() {
        let fields = match reread() {
            Ok(read) if read == current => json!({ "outcome": "unchanged" }),
            Ok(read) => json!({ "outcome": "next_start", "settings": format!("{read:?}") }),
            Err(error) => {
                json!({ "outcome": "unreadable", "fault": error.current_context().to_string() })
            }
        };
        journal.record(Priority::Important, "reload", fields);
    }
}
