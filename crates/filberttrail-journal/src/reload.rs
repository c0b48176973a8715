//! What a daemon does when it is asked to read its settings again.

use crate::Journal;
use crate::journal::Priority;
use filberttrail_kernel::Result;
use serde_json::json;
use std::fmt::Debug;
use tokio::sync::mpsc;

/// Reads the settings again at each request, and notes what came of it.
///
/// Addresses and names cannot change under a running process: settings that differ are in force
/// from its next start. Settings that cannot be read change nothing.
pub async fn run<S: PartialEq + Debug>(
    journal: Journal,
    held: S,
    mut requests: mpsc::Receiver<()>,
    reread: impl Fn() -> Result<S>,
) {
    while requests.recv().await.is_some() {
        let fields = match reread() {
            Ok(read) if read == held => json!({ "outcome": "unchanged" }),
            Ok(read) => json!({ "outcome": "next_start", "settings": format!("{read:?}") }),
            Err(fault) => {
                json!({ "outcome": "unreadable", "fault": fault.current_context().to_string() })
            }
        };
        journal.record(Priority::Important, "reload", fields);
    }
}
