//! Objects in the store that cannot be decoded: the log names each once, and all are counted.

use crate::Hub;
use filberttrail_journal::journal::Priority;
use filberttrail_store::feed::Object;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Maximum number of objects of which it is remembered that they were logged.
const LOGGED_LIMIT: usize = 1_024;

/// The unreadable objects that were logged, by kind and name. Their writers may repeat them at each
/// heartbeat.
#[derive(Debug, Default)]
pub struct Unreadable {
    logged: Mutex<BTreeSet<(&'static str, String)>>,
}

impl Unreadable {
    /// Returns whether an object has to be logged. It does not have to be again, unless many others
    /// have been logged since.
    pub fn note(&self, kind: &'static str, name: &str) -> bool {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= LOGGED_LIMIT {
            logged.clear();
        }
        logged.insert((kind, name.to_string()))
    }
}

impl Hub {
    /// Records that an object cannot be decoded, and is not used.
    pub(crate) fn note_unreadable(&self, kind: &'static str, object: &Object) {
        self.metrics.record_unreadable(kind);
        if self.unreadable.note(kind, &object.name) {
            let fields = json!({ "kind": kind, "name": object.name, "revision": object.revision });
            self.journal.record(Priority::Important, "unreadable_object", fields);
        }
    }
}
