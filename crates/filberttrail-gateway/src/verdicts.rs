//! Keeps the condemned subjects in the store, for gateways that start when no other one runs.
//!
//! There is one object a subject, whose name is the subject. It is written by the entries that reach
//! the verdict, read once by each that starts, and removed when the subject is forgotten.

use crate::Hub;
use crate::blame::format_subject;
use filberttrail_fleet::blame::SubjectId;
use filberttrail_journal::journal::Priority;
use filberttrail_store::Objects;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// The kind of object under which condemned subjects are stored.
pub const KIND: &str = "filberttrail-condemned";
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Number of times that a write is tried. The entries that run know the verdict without it.
const WRITE_ATTEMPTS: u32 = 10;

/// A change of the stored verdicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The subject was condemned.
    Condemned(SubjectId),
    /// The subject was forgotten.
    Forgotten(SubjectId),
}

/// Reads the condemned subjects once, and then stores the changes.
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
    let subjects = stored.iter().filter_map(|object| {
        let subject = parse_subject(&object.name);
        if subject.is_none() {
            hub.note_unreadable(KIND, object);
        }
        subject
    });
    hub.blame.restore(&subjects.collect::<Vec<_>>());
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
            Change::Condemned(subject) => {
                objects.put(KIND, &format_subject(subject), &json!({}), None).await.map(drop)
            }
            Change::Forgotten(subject) => objects.delete(KIND, &format_subject(subject)).await,
        };
        let Err(error) = result else { return };
        let fields = json!({
            "change": format!("{change:?}"), "fault": error.current_context().to_string(),
        });
        hub.journal.record(Priority::Important, "verdict_not_stored", fields);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn parse_subject(name: &str) -> Option<SubjectId> {
    SubjectId::from_str_radix(name, 16).ok().filter(|subject| format_subject(*subject) == name)
}
