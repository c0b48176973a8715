//! Keeps the condemned prompt parts in the store, for gateways that start when no other one runs.
//!
//! There is one object a part, whose name is the part's id. It is written by the entries that reach
//! the verdict, read once by each that starts, and removed when the part is forgotten.

use crate::Hub;
use crate::blame::format_part;
use filberttrail_fleet::blame::PartId;
use filberttrail_journal::journal::Priority;
use filberttrail_store::Objects;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// The kind of object under which condemned parts are stored.
pub const KIND: &str = "filberttrail-condemned";
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Number of times that a write is tried. The entries that run know the verdict without it.
const WRITE_ATTEMPTS: u32 = 10;

/// A change of the stored verdicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The part was condemned.
    Condemned(PartId),
    /// The part was forgotten.
    Forgotten(PartId),
}

/// Reads the condemned parts once, and then stores the changes.
pub async fn run(hub: Arc<Hub>, objects: Arc<Objects>) {
    let stored = loop {
        match objects.list(KIND).await {
            Ok((stored, _)) => break stored,
            Err(error) => {
                let fields = json!({ "fault": error.current_context().to_string() });
                hub.journal.record(Priority::Important, "verdicts_not_read", fields);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    };
    let parts = stored.iter().filter_map(|object| {
        let part = parse_part(&object.name);
        if part.is_none() {
            let fields = json!({
                "kind": KIND, "name": object.name, "revision": object.revision,
            });
            hub.journal.record(Priority::Important, "unreadable_object", fields);
        }
        part
    });
    hub.blame.restore(&parts.collect::<Vec<_>>());
    hub.note_verdicts_known();
    loop {
        hub.blame.stored_changes.notified().await;
        for change in hub.blame.take_changes() {
            store(&hub, &objects, change).await;
        }
    }
}

async fn store(hub: &Hub, objects: &Objects, change: Change) {
    for _ in 0..WRITE_ATTEMPTS {
        let result = match change {
            // Another entry may have stored it already.
            Change::Condemned(part) => {
                objects.put(KIND, &format_part(part), &json!({}), None).await.map(drop)
            }
            Change::Forgotten(part) => objects.delete(KIND, &format_part(part)).await,
        };
        let Err(error) = result else { return };
        let fields = json!({
            "change": format!("{change:?}"), "fault": error.current_context().to_string(),
        });
        hub.journal.record(Priority::Important, "verdict_not_stored", fields);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn parse_part(name: &str) -> Option<PartId> {
    PartId::from_str_radix(name, 16).ok().filter(|part| format_part(*part) == name)
}
