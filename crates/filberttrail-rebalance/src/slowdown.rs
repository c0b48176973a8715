//! Publishes the slowdown of the local engine to entries, through an object in the store.

use crate::Settings;
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_store::Objects;
use filberttrail_store::feed::Written;
use filberttrail_store::slowdown::{KIND, Slowdown};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// Slowdown factor from which an engine is published as slow. Smaller factors hardly lengthen a
/// group's passes.
const SLOWDOWN_THRESHOLD: f64 = 1.5;

/// The state that was last published.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Published {
    /// Nothing was published by this process; an earlier process may have published a slowdown.
    Unknown,
    /// The engine is published as slow.
    Slow,
    /// No slowdown is published.
    Normal,
}

/// Publishes the slowdown of one engine.
pub struct Publisher {
    name: String,
    engine: SocketAddr,
    objects: Arc<Objects>,
    journal: Journal,
    published: Published,
    /// The store's era in which `published` was written.
    era: Option<u64>,
}

impl Publisher {
    /// Creates a publisher. On the first start of the whole system no earlier process can have
    /// published a slowdown.
    pub fn new(settings: &Settings, objects: Arc<Objects>, journal: Journal) -> Self {
        let (name, engine) = (settings.name.clone(), settings.engine);
        let published = if settings.first_start { Published::Normal } else { Published::Unknown };
        let era = objects.era();
        Self { name, engine, objects, journal, published, era }
    }

    /// Publishes the slowdown if the engine became slow, and withdraws it if the engine recovered.
    /// After a failed store call, the next report triggers a retry.
    pub async fn publish(&mut self, slowdown: f64) {
        // A restored store may lack the latest write.
        let era = self.objects.era();
        let previous = std::mem::replace(&mut self.era, era);
        if previous.is_some() && previous < era {
            self.published = Published::Unknown;
        }
        let current =
            if slowdown >= SLOWDOWN_THRESHOLD { Published::Slow } else { Published::Normal };
        if current == self.published {
            return;
        }
        let outcome = match current {
            Published::Slow => self.write_object(slowdown).await,
            _ => self.objects.delete(KIND, &self.name).await,
        };
        if outcome.is_ok() {
            self.published = current;
        }
        let error = outcome.err().map(|error| error.current_context().to_string());
        let fields = json!({ "pace": slowdown, "fault": error });
        self.journal.record(Priority::Important, "pace", fields);
    }

    async fn write_object(&self, slowdown: f64) -> filberttrail_kernel::Result<()> {
        let object = json!(Slowdown { address: self.engine, factor: slowdown });
        let mut expected_revision = None;
        // An object that an earlier process left behind is replaced.
        for _ in 0..2 {
            match self.objects.put(KIND, &self.name, &object, expected_revision).await? {
                Written::Done(_) => return Ok(()),
                Written::Conflict(object) => {
                    expected_revision = object.map(|object| object.revision)
                }
            }
        }
        Ok(())
    }
}
