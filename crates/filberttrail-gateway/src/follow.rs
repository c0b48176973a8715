//! Takes in what the store tells: upstreams, configuration and outs.

use crate::Hub;
use filberttrail_fleet::Table;
use filberttrail_fleet::snapshot::{Progress, Revision};
use filberttrail_journal::journal::Priority;
use filberttrail_store::Objects;
use filberttrail_store::feed::{Change, Event, Object};
use filberttrail_store::slowdown::{self, Slowdown};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use tokio::sync::Notify;

/// Follows the registrations of upstreams.
pub async fn run_upstreams(hub: Arc<Hub>, objects: Arc<Objects>, wake: Arc<Notify>) {
    let kind = hub.interface.upstreams;
    let read = hub.interface.read_upstream;
    let mut events = objects.follow(kind, wake);
    while let Some(event) = events.recv().await {
        match news(&hub, kind, |progress| &mut progress.upstreams, event) {
            Some(News::All(all)) => {
                let known = all.iter().filter_map(|object| {
                    let upstream = read(&object.name, &object.value);
                    if upstream.is_none() {
                        note_unreadable(&hub, kind, object);
                    }
                    upstream
                });
                hub.set_upstreams(known.collect());
            }
            Some(News::Changed(changes)) => {
                for change in last_of_each(changes) {
                    let object = &change.object;
                    let upstream = read(&object.name, &object.value);
                    match upstream.filter(|_| !change.removed) {
                        Some(upstream) => hub.set_upstream(upstream),
                        None => {
                            if !change.removed {
                                note_unreadable(&hub, kind, object);
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
pub async fn run_configuration(hub: Arc<Hub>, objects: Arc<Objects>, wake: Arc<Notify>) {
    let (kind, name) = hub.interface.configuration;
    let mut events = objects.follow(kind, wake);
    while let Some(event) = events.recv().await {
        let object = match news(&hub, kind, |progress| &mut progress.configuration, event) {
            Some(News::All(all)) => all.into_iter().rfind(|object| object.name == name),
            Some(News::Changed(changes)) => changes
                .into_iter()
                .filter(|change| !change.removed)
                .map(|change| change.object)
                .rfind(|object| object.name == name),
            None => None,
        };
        let Some(object) = object else { continue };
        match (hub.interface.read_configuration)(&object.value) {
            Some((configuration, unread)) => {
                if unread > 0 {
                    let fields =
                        json!({ "generation": configuration.generation, "entries": unread });
                    hub.journal.record(Priority::Important, "unreadable_entries", fields);
                }
                hub.apply(Table::new(configuration));
            }
            None => note_unreadable(&hub, kind, &object),
        }
    }
}

/// Follows which data centres are out of service.
pub async fn run_outs(hub: Arc<Hub>, objects: Arc<Objects>, wake: Arc<Notify>) {
    let kind = hub.interface.outs;
    let mut events = objects.follow(kind, wake);
    let mut outs = BTreeSet::new();
    while let Some(event) = events.recv().await {
        match news(&hub, kind, |progress| &mut progress.outs, event) {
            Some(News::All(all)) => outs = all.into_iter().map(|object| object.name).collect(),
            Some(News::Changed(changes)) => {
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

/// Follows which upstreams are slow. Nothing is lost with it but time, so nobody is asked for it
/// while the store is away.
pub async fn run_paces(hub: Arc<Hub>, objects: Arc<Objects>) {
    let mut events = objects.follow(slowdown::KIND, Arc::default());
    let mut paces: HashMap<String, Slowdown> = HashMap::new();
    while let Some(event) = events.recv().await {
        match event {
            Event::All(all, _) => {
                paces = all
                    .into_iter()
                    .filter_map(|object| Some((object.name.clone(), read_pace(&object)?)))
                    .collect();
            }
            Event::Changed(changes, _) => {
                for change in last_of_each(changes) {
                    let Change { object, removed } = change;
                    match read_pace(&object).filter(|_| !removed) {
                        Some(pace) => drop(paces.insert(object.name, pace)),
                        None => drop(paces.remove(&object.name)),
                    }
                }
            }
            Event::Lost(_) | Event::Regained => continue,
        }
        hub.set_paces(paces.values().map(|pace| (pace.address, pace.factor)).collect());
    }
}

fn read_pace(object: &Object) -> Option<Slowdown> {
    serde_json::from_value(object.value.clone()).ok()
}

/// Leaves out changes that were followed by another of the same object: what was heard of from
/// another entry may be newer than they are.
fn last_of_each(changes: Vec<Change>) -> Vec<Change> {
    let mut last: BTreeMap<String, Change> = BTreeMap::new();
    for change in changes {
        last.insert(change.object.name.clone(), change);
    }
    last.into_values().collect()
}

/// What an event says of objects.
enum News {
    /// These are all.
    All(Vec<Object>),
    /// These changed.
    Changed(Vec<Change>),
}

/// Notes what an event says of the store and of how far it has been followed, and returns what it says
/// of objects.
fn news(
    hub: &Hub,
    kind: &'static str,
    pick: fn(&mut Progress) -> &mut Revision,
    event: Event,
) -> Option<News> {
    let (news, seen, changed) = match event {
        Event::All(all, seen) => {
            let changed = all.iter().map(|object| object.revision).max();
            (News::All(all), seen, changed)
        }
        Event::Changed(changes, seen) => {
            let changed = changes.iter().map(|change| change.object.revision).max();
            (News::Changed(changes), seen, changed)
        }
        Event::Lost(fault) => {
            hub.note_store(kind, Some(fault));
            return None;
        }
        Event::Regained => {
            hub.note_store(kind, None);
            return None;
        }
    };
    hub.note_progress(pick, seen, changed.unwrap_or_default().min(seen));
    Some(news)
}

fn note_unreadable(hub: &Hub, kind: &str, object: &Object) {
    let fields = json!({ "kind": kind, "name": object.name, "revision": object.revision });
    hub.journal.record(Priority::Important, "unreadable_object", fields);
}
