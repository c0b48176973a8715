//! The registrations of entries in the store, under which they discover each other.
//!
//! Nothing in the store expires by itself, so the entries remove the registrations of those that are
//! gone. An entry that has not been heard for the retention is questioned first: its registration is
//! marked. If it runs and reaches the store, it registers again, which removes the mark. A
//! registration that stays marked is removed.

use crate::Hub;
use filberttrail_fleet::snapshot::Entry;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::Result;
use filberttrail_store::Objects;
use filberttrail_store::feed::{Object, Written};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The kind of object under which entries register.
pub const KIND: &str = "filberttrail-entries";
/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Part of the retention for which a registration stays marked before it is removed.
const QUESTION_FRACTION: f64 = 0.25;
/// Maximum number of registrations that are marked or removed at a time.
const BATCH: usize = 4;

/// What this entry does about the registrations.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    /// Whether this entry is writing its own registration.
    registering: AtomicBool,
    /// Whether registrations are being marked or removed.
    collecting: AtomicBool,
    /// Times at which registrations were first seen to be marked, by name.
    questioned_at: Mutex<HashMap<String, Duration>>,
}

impl Registry {
    /// Looks at the registrations as they were read. Registers this entry again if its registration
    /// is missing, as after a restore of the store, or was questioned.
    pub(crate) fn note_entries(
        self: &Arc<Self>,
        hub: &Arc<Hub>,
        objects: &Arc<Objects>,
        entries: &BTreeMap<String, Entry>,
    ) {
        let now = hub.now();
        let is_questioned = |name: &String| entries.get(name).is_some_and(|known| known.questioned);
        let mut questioned_at = self.questioned_at.lock().unwrap_or_else(PoisonError::into_inner);
        questioned_at.retain(|name, _| is_questioned(name));
        for name in entries.keys().filter(|name| is_questioned(name)) {
            questioned_at.entry(name.clone()).or_insert(now);
        }
        drop(questioned_at);
        if entries.get(&hub.settings.name) != Some(&own_entry(hub)) {
            let (registry, hub, objects) = (self.clone(), hub.clone(), objects.clone());
            tokio::spawn(async move { registry.register(&hub, &objects).await });
        }
    }

    /// Registers this entry, unless that is under way.
    pub(crate) async fn register(&self, hub: &Hub, objects: &Objects) {
        if self.registering.swap(true, Ordering::Relaxed) {
            return;
        }
        let Entry { address, data_centre, .. } = own_entry(hub);
        let value = json!({ "address": address.to_string(), "data_centre": data_centre });
        let mut expected_revision = None;
        loop {
            match objects.put(KIND, &hub.settings.name, &value, expected_revision).await {
                Ok(Written::Done(_)) => break,
                Ok(Written::Conflict(Some(object))) if object.value == value => break,
                Ok(Written::Conflict(object)) => {
                    expected_revision = object.map(|object| object.revision)
                }
                Err(error) => {
                    let fields = json!({ "fault": error.current_context().to_string() });
                    hub.journal.record(Priority::Important, "not_registered", fields);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        self.registering.store(false, Ordering::Relaxed);
    }

    /// Marks the registrations of entries that are due, and removes those that have been marked for
    /// long enough.
    pub(crate) fn collect(self: &Arc<Self>, hub: &Arc<Hub>, objects: &Arc<Objects>) {
        let expired = hub.expired_entries();
        if expired.is_empty() || self.collecting.swap(true, Ordering::Relaxed) {
            return;
        }
        let now = hub.now();
        let answer_within = hub.settings.retention.mul_f64(QUESTION_FRACTION);
        let questioned_at = self.questioned_at.lock().unwrap_or_else(PoisonError::into_inner);
        let due = expired.into_iter().filter_map(|name| match questioned_at.get(&name) {
            None => Some((name, false)),
            Some(at) => (now >= *at + answer_within).then_some((name, true)),
        });
        let due: Vec<(String, bool)> = due.take(BATCH).collect();
        drop(questioned_at);
        let (registry, hub, objects) = (self.clone(), hub.clone(), objects.clone());
        tokio::spawn(async move {
            for (name, removes) in due {
                let outcome = match removes {
                    true => remove(&objects, &name).await,
                    false => question(&objects, &name).await,
                };
                let fault = outcome.as_ref().err().map(|e| e.current_context().to_string());
                let fields = json!({
                    "entry": name, "removes": removes, "done": outcome.is_ok_and(|done| done),
                    "fault": fault,
                });
                hub.journal.record(Priority::Important, "silent_entry", fields);
            }
            registry.collecting.store(false, Ordering::Relaxed);
        });
    }
}

/// Decodes a registration; `None` if it is malformed.
pub(crate) fn read_entry(hub: &Hub, object: &Object) -> Option<(String, Entry)> {
    let entry = decode_entry(&object.value);
    if entry.is_none() {
        hub.note_unreadable(KIND, object);
    }
    Some((object.name.clone(), entry?))
}

fn own_entry(hub: &Hub) -> Entry {
    let data_centre = hub.settings.data_centre.clone();
    Entry { address: hub.settings.peers, data_centre, questioned: false }
}

fn decode_entry(value: &Value) -> Option<Entry> {
    let address = value.get("address")?.as_str()?.parse().ok()?;
    let data_centre = value.get("data_centre").and_then(Value::as_str);
    let data_centre = data_centre.unwrap_or_default().to_string();
    let questioned = value.get("questioned").and_then(Value::as_bool).unwrap_or_default();
    Some(Entry { address, data_centre, questioned })
}

/// Marks a registration. Returns whether it was there, without a mark.
async fn question(objects: &Objects, name: &str) -> Result<bool> {
    let Some(Object { mut value, revision, .. }) = objects.get(KIND, name).await? else {
        return Ok(false);
    };
    if decode_entry(&value).is_some_and(|entry| entry.questioned) || !value.is_object() {
        return Ok(false);
    }
    value["questioned"] = true.into();
    let written = objects.put(KIND, name, &value, Some(revision)).await?;
    Ok(matches!(written, Written::Done(_)))
}

/// Removes a registration that is still marked. Returns whether it was.
async fn remove(objects: &Objects, name: &str) -> Result<bool> {
    let Some(Object { value, revision, .. }) = objects.get(KIND, name).await? else {
        return Ok(false);
    };
    if !decode_entry(&value).is_some_and(|entry| entry.questioned) {
        return Ok(false);
    }
    objects.delete_at(KIND, name, revision).await
}
