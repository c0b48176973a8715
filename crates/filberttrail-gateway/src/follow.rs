//! Follows the store: registrations of upstreams, the configuration, data centres out of service,
//! and slow upstreams.

use crate::Hub;
use filberttrail_fleet::Table;
use filberttrail_fleet::snapshot::{Progress, Revision};
use filberttrail_journal::journal::Priority;
use filberttrail_store::feed::{Change, Event, Object};
use filberttrail_store::revision;
use filberttrail_store::slowdown::{self, Slowdown};
use filberttrail_store::{Objects, Proof};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Age of a proof from which the configuration, upstreams and data centres out of service are
/// checked, as a fraction of the time within which a change has to be in force. The rest is for the
/// spread of the checks, and for telling the other entries.
const CHECK_FRACTION: f64 = 0.25;
/// Interval at which the other watches are checked: what they report is a matter of efficiency.
pub(crate) const RELAXED_CHECK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Follows the registrations of upstreams.
pub async fn run_upstreams(
    hub: Arc<Hub>,
    objects: Arc<Objects>,
    wake: Arc<Notify>,
    active: watch::Receiver<bool>,
) {
    let kind = hub.interface.upstreams;
    let read = hub.interface.read_upstream;
    let proof = hub.currency.upstreams.clone();
    let mut events = objects.follow(kind, check_interval(&hub), proof.clone(), wake, active);
    while let Some(event) = events.recv().await {
        match record_event(&hub, kind, |progress| &mut progress.upstreams, &proof, event) {
            Some(Update::All(all)) => {
                let known = all.iter().filter_map(|object| {
                    let upstream = read(&object.name, &object.value);
                    if upstream.is_none() {
                        hub.note_unreadable(kind, object);
                    }
                    upstream
                });
                hub.set_upstreams(known.collect());
            }
            Some(Update::Changed(changes)) => {
                for change in keep_last_of_each(changes) {
                    let object = &change.object;
                    let upstream = read(&object.name, &object.value);
                    match upstream.filter(|_| !change.removed) {
                        Some(upstream) => hub.set_upstream(upstream),
                        None => {
                            if !change.removed {
                                hub.note_unreadable(kind, object);
                            }
                            hub.remove_upstream(&object.name);
                        }
                    }
                }
            }
            None => {}
        }
    }
}

/// Follows the configuration.
pub async fn run_configuration(
    hub: Arc<Hub>,
    objects: Arc<Objects>,
    wake: Arc<Notify>,
    active: watch::Receiver<bool>,
) {
    let (kind, name) = hub.interface.configuration;
    let proof = hub.currency.configuration.clone();
    let mut events = objects.follow(kind, check_interval(&hub), proof.clone(), wake, active);
    while let Some(event) = events.recv().await {
        let pick: Pick = |progress| &mut progress.configuration;
        let object = match record_event(&hub, kind, pick, &proof, event) {
            Some(Update::All(all)) => all.into_iter().rfind(|object| object.name == name),
            Some(Update::Changed(changes)) => changes
                .into_iter()
                .filter(|change| !change.removed)
                .map(|change| change.object)
                .rfind(|object| object.name == name),
            None => None,
        };
        let Some(object) = object else { continue };
        match (hub.interface.read_configuration)(&object.value) {
            Some((configuration, unreadable_entries)) => {
                if unreadable_entries > 0 {
                    let fields = json!({
                        "generation": configuration.generation, "entries": unreadable_entries,
                    });
                    hub.journal.record(Priority::Important, "unreadable_entries", fields);
                }
                hub.apply_table(Table::new(configuration));
            }
            None => hub.note_unreadable(kind, &object),
        }
    }
}

/// Follows the set of data centres that are out of service.
pub async fn run_outs(
    hub: Arc<Hub>,
    objects: Arc<Objects>,
    wake: Arc<Notify>,
    active: watch::Receiver<bool>,
) {
    let kind = hub.interface.outs;
    let proof = hub.currency.outs.clone();
    let mut events = objects.follow(kind, check_interval(&hub), proof.clone(), wake, active);
    let mut outs = BTreeSet::new();
    while let Some(event) = events.recv().await {
        match record_event(&hub, kind, |progress| &mut progress.outs, &proof, event) {
            Some(Update::All(all)) => {
                // A restored store may lack a data centre that was taken out shortly before.
                if !hub.is_restoring() {
                    outs.clear();
                }
                outs.extend(all.into_iter().map(|object| object.name));
            }
            Some(Update::Changed(changes)) => {
                for change in changes {
                    match change.removed {
                        true => outs.remove(&change.object.name),
                        false => outs.insert(change.object.name),
                    };
                }
            }
            None => continue,
        }
        hub.set_outs(outs.iter().cloned().collect());
    }
}

/// Follows which upstreams are slow.
pub async fn run_slowdowns(
    hub: Arc<Hub>,
    objects: Arc<Objects>,
    wake: Arc<Notify>,
    active: watch::Receiver<bool>,
) {
    let kind = slowdown::KIND;
    let proof = hub.currency.slowdowns.clone();
    let mut events = objects.follow(kind, RELAXED_CHECK_INTERVAL, proof.clone(), wake, active);
    let mut slowdowns: HashMap<String, Slowdown> = HashMap::new();
    while let Some(event) = events.recv().await {
        match record_event(&hub, kind, |progress| &mut progress.slowdowns, &proof, event) {
            Some(Update::All(all)) => {
                slowdowns = all
                    .into_iter()
                    .filter_map(|object| Some((object.name.clone(), read_slowdown(&hub, &object)?)))
                    .collect();
            }
            Some(Update::Changed(changes)) => {
                for change in keep_last_of_each(changes) {
                    let Change { object, removed } = change;
                    match removed {
                        true => drop(slowdowns.remove(&object.name)),
                        false => match read_slowdown(&hub, &object) {
                            Some(slowdown) => drop(slowdowns.insert(object.name, slowdown)),
                            None => drop(slowdowns.remove(&object.name)),
                        },
                    }
                }
            }
            None => continue,
        }
        hub.set_slowdowns(
            slowdowns.values().map(|slowdown| (slowdown.address, slowdown.factor)).collect(),
        );
    }
}

fn read_slowdown(hub: &Hub, object: &Object) -> Option<Slowdown> {
    let slowdown = serde_json::from_value(object.value.clone()).ok();
    // A factor below 1 would make the upstream look faster than it is.
    let slowdown = slowdown.filter(|slowdown: &Slowdown| slowdown.factor >= 1.0);
    if slowdown.is_none() {
        hub.note_unreadable(slowdown::KIND, object);
    }
    slowdown
}

/// Keeps only the last change of each object. A snapshot from another entry may be newer than the
/// earlier changes.
fn keep_last_of_each(changes: Vec<Change>) -> Vec<Change> {
    let mut last: BTreeMap<String, Change> = BTreeMap::new();
    for change in changes {
        last.insert(change.object.name.clone(), change);
    }
    last.into_values().collect()
}

fn check_interval(hub: &Hub) -> Duration {
    hub.settings.apply_within.mul_f64(CHECK_FRACTION)
}

/// The objects of an event.
pub(crate) enum Update {
    /// All objects of the kind.
    All(Vec<Object>),
    /// The objects that changed.
    Changed(Vec<Change>),
}

/// Returns the revision of one kind of object.
pub(crate) type Pick = fn(&mut Progress) -> &mut Revision;

/// Records the availability of the store, the revisions and the proof that an event shows, and
/// returns the event's objects.
pub(crate) fn record_event(
    hub: &Hub,
    kind: &'static str,
    pick: Pick,
    proof: &Proof,
    event: Event,
) -> Option<Update> {
    let (update, position, changed) = match event {
        Event::All(all, position) => {
            // A store that was restored from a copy may lack all objects of the kind.
            let restored = revision::join(revision::era(position.revision), 0);
            let changed = all.iter().map(|object| object.revision).max().max(Some(restored));
            (Some(Update::All(all)), position, changed)
        }
        Event::Changed(changes, position) => {
            let changed = changes.iter().map(|change| change.object.revision).max();
            (Some(Update::Changed(changes)), position, changed)
        }
        Event::Unchanged(position) => (None, position, None),
        Event::Lost(error) => {
            hub.record_store_state(kind, Some(error));
            return None;
        }
        Event::Regained => {
            hub.record_store_state(kind, None);
            return None;
        }
        Event::Unwatched => {
            hub.record_store_unwatched(kind);
            return None;
        }
    };
    let seen = position.revision;
    hub.record_progress(kind, pick, seen, changed.unwrap_or_default().min(seen));
    proof.record(position.at);
    update
}
