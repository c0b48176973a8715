//! Tells entries while the engine works slowly, by an object in the store.

use crate::Settings;
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Weight;
use filberttrail_store::Objects;
use filberttrail_store::feed::Written;
use filberttrail_store::pace::{KIND, Pace};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// The pace from which on an engine is told of; smaller ones hardly lengthen a group's passes.
const SLOW: f64 = 1.5;

/// What was told last.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    /// Nothing yet: an earlier process may have told something.
    Unknown,
    /// That it is slow.
    Slow,
    /// Nothing, or that it is sound again.
    Sound,
}

/// Tells of one engine.
pub struct Teller {
    name: String,
    engine: SocketAddr,
    objects: Arc<Objects>,
    journal: Journal,
    told: Told,
}

impl Teller {
    /// Starts with nothing told.
    pub fn new(settings: &Settings, objects: Arc<Objects>, journal: Journal) -> Self {
        let (name, engine) = (settings.name.clone(), settings.engine);
        let told = if settings.first_start { Told::Sound } else { Told::Unknown };
        Self { name, engine, objects, journal, told }
    }

    /// Tells of a change; a call that fails is made again at the next report.
    pub async fn tell(&mut self, slowdown: f64) {
        let now = if slowdown >= SLOW { Told::Slow } else { Told::Sound };
        if now == self.told {
            return;
        }
        let outcome = match now {
            Told::Slow => self.write(slowdown).await,
            _ => self.objects.delete(KIND, &self.name).await,
        };
        if outcome.is_ok() {
            self.told = now;
        }
        let fault = outcome.err().map(|fault| fault.current_context().to_string());
        let fields = json!({ "pace": slowdown, "fault": fault });
        self.journal.note(Weight::Important, "pace", fields);
    }

    async fn write(&self, slowdown: f64) -> filberttrail_kernel::Result<()> {
        let slowdown = json!(Pace { address: self.engine, pace: slowdown });
        let mut held = None;
        // An object of an earlier process is replaced.
        for _ in 0..2 {
            match self.objects.put(KIND, &self.name, &slowdown, held).await? {
                Written::Done(_) => return Ok(()),
                Written::Conflict(object) => held = object.map(|object| object.revision),
            }
        }
        Ok(())
    }
}
