//! What entries tell each other: their requests on upstreams, and how far they have followed the
//! store. An entry that hears of a change which the store has not told it of looks again, and takes
//! the change from the entry that knows it where the store does not answer.

use crate::tag::Tag;
use crate::{Hub, Settings};
use filberttrail_fleet::Snapshot;
use filberttrail_fleet::snapshot::Progress;
use filberttrail_journal::journal::Priority;
use filberttrail_store::Objects;
use filberttrail_store::feed::{Event, Object, Written};
use filberttrail_web::{Body, Client, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// The kind of object by which entries find each other.
pub const KIND: &str = "filberttrail-entries";
/// The pause between messages while there is load, with few entries.
const TELL_PERIOD: Duration = Duration::from_millis(100);
/// Entries up to which messages come so often; with more, each entry hears about as many a second.
const TELL_ENTRIES: u32 = 40;
/// The longest pause; others take an entry for silent after 1.3 s.
const TELL_PERIOD_LIMIT: Duration = Duration::from_millis(300);
/// Rounds between messages while there is nothing new to tell: whoever is behind needs a second one.
const QUIET_ROUNDS: u64 = 4;
/// Bytes of a message at most, below what one datagram holds on common links.
const MESSAGE_LIMIT: usize = 8_192;
/// The pause after a failed write of one's own object.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

/// A message between entries.
#[derive(Debug, Serialize, Deserialize)]
pub struct Message {
    /// The entry that sends it.
    pub entry: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Its requests on upstreams.
    pub loads: Vec<(Tag, u32)>,
    /// The last change of each kind that the store told it of.
    pub changed: Progress,
}

/// What cuts a waiting watch short, by kind.
#[derive(Default)]
pub struct Wakes {
    /// Of upstreams.
    pub upstreams: Arc<Notify>,
    /// Of the configuration.
    pub configuration: Arc<Notify>,
    /// Of the data centres out of service.
    pub outs: Arc<Notify>,
}

/// How long another entry may know more before the store is looked at again; watches are told of
/// the same change at about the same time.
const WAKE_AFTER: Duration = Duration::from_millis(250);
/// The pause between two looks.
const WAKE_PERIOD: Duration = Duration::from_millis(600);
/// How long another entry may know more before it is asked.
const ASK_AFTER: Duration = Duration::from_millis(500);
/// The pause between two questions.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// How long an entry may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of what another entry knows.
const SNAPSHOT_LIMIT: usize = 8 << 20;

/// The other entries.
#[derive(Default)]
pub struct Peers {
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
    /// What cuts waiting watches short.
    pub wakes: Wakes,
    client: Client,
    behind: Mutex<Behind>,
}

/// Since when another entry knows more.
#[derive(Default)]
struct Behind {
    heard: Progress,
    since: Option<Duration>,
    woken: Duration,
    asked: Duration,
}

impl Peers {
    fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tells the others of this entry's load, and ages beliefs, until the task is ended.
    pub async fn run_tell(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut quiet = false;
        let mut told = Progress::default();
        for round in 0u64.. {
            let entries = self.addresses().len() as u32;
            let period = TELL_PERIOD * entries.max(TELL_ENTRIES) / TELL_ENTRIES;
            tokio::time::sleep(period.min(TELL_PERIOD_LIMIT)).await;
            hub.expire();
            let loads = hub.loads();
            let changed = hub.changed();
            let due = round.is_multiple_of(QUIET_ROUNDS);
            if loads.is_empty() && quiet && changed == told && !due {
                continue;
            }
            quiet = loads.is_empty();
            told = changed;
            let Settings { name, data_centre, .. } = &hub.settings;
            let (entry, data_centre) = (name.clone(), data_centre.clone());
            let message = Message { entry, data_centre, loads, changed };
            let mut text = Vec::new();
            if let Err(fault) = ciborium::into_writer(&message, &mut text) {
                log::error!("cannot encode a message to entries: {fault}");
                continue;
            }
            for (name, address) in self.addresses() {
                if name != hub.settings.name {
                    // A full link loses datagrams; the next one tells the same.
                    let _ = socket.try_send_to(&text, address);
                }
            }
        }
    }

    /// Hears what the others tell.
    pub async fn run_hear(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MESSAGE_LIMIT];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(TELL_PERIOD).await;
                continue;
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => {
                    let loads: HashMap<Tag, u32> = message.loads.into_iter().collect();
                    hub.hear(message.entry, message.data_centre, loads);
                    self.catch_up(&hub, &message.changed, from);
                }
                Err(fault) => {
                    let fields = json!({ "from": from.to_string(), "fault": fault.to_string() });
                    hub.journal.record(Priority::Ordinary, "unreadable_message", fields);
                }
            }
        }
    }

    /// Looks again at the store where another entry knows more, and asks that entry where looking
    /// has not helped.
    fn catch_up(self: &Arc<Self>, hub: &Arc<Hub>, changed: &Progress, from: SocketAddr) {
        let now = hub.now();
        let seen = hub.seen();
        let mut behind = self.behind.lock().unwrap_or_else(PoisonError::into_inner);
        behind.heard = behind.heard.max(changed);
        if !behind.heard.is_beyond(&seen) {
            behind.since = None;
            return;
        }
        let since = *behind.since.get_or_insert(now);
        // Others may be behind as well: only those who know more can help.
        if !changed.is_beyond(&seen) {
            return;
        }
        if now < since + WAKE_AFTER {
            return;
        }
        if now >= behind.woken + WAKE_PERIOD {
            behind.woken = now;
            let fields = json!({ "seen": format!("{seen:?}"), "heard": format!("{changed:?}") });
            hub.journal.record(Priority::Important, "behind", fields);
            let pairs = [
                (changed.upstreams > seen.upstreams, &self.wakes.upstreams),
                (changed.configuration > seen.configuration, &self.wakes.configuration),
                (changed.outs > seen.outs, &self.wakes.outs),
            ];
            pairs.iter().filter(|(newer, _)| *newer).for_each(|(_, wake)| wake.notify_one());
        }
        if now >= since + ASK_AFTER && now >= behind.asked + ASK_PERIOD {
            behind.asked = now;
            let (peers, hub) = (self.clone(), hub.clone());
            tokio::spawn(async move { peers.ask(&hub, from).await });
        }
    }

    async fn ask(&self, hub: &Hub, address: SocketAddr) {
        let request = hyper::Request::builder()
            .uri("/")
            .header(hyper::header::HOST, address.to_string())
            .body(Body::empty());
        let Ok(request) = request else { return };
        let answer = self.client.fetch(address, request, ASK_TIMEOUT, SNAPSHOT_LIMIT).await;
        let snapshot = answer.map_err(|fault| fault.to_string()).and_then(|answer| {
            ciborium::from_reader::<Snapshot, _>(&answer.body()[..])
                .map_err(|fault| fault.to_string())
        });
        let fields = json!({
            "from": address.to_string(),
            "seen": snapshot.as_ref().ok().map(|snapshot| format!("{:?}", snapshot.seen)),
            "fault": snapshot.as_ref().err(),
        });
        hub.journal.record(Priority::Important, "asked_entry", fields);
        if let Ok(snapshot) = snapshot {
            hub.adopt(snapshot);
        }
    }

    /// Registers this entry, and follows the others.
    pub async fn run_follow(self: Arc<Self>, hub: Arc<Hub>, objects: Arc<Objects>) {
        register(&hub, &objects).await;
        let mut events = objects.follow(KIND, Arc::default());
        while let Some(event) = events.recv().await {
            let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
            match event {
                Event::All(all, _) => *addresses = all.iter().filter_map(address).collect(),
                Event::Changed(changes, _) => {
                    for change in changes {
                        match address(&change.object).filter(|_| !change.removed) {
                            Some((name, address)) => drop(addresses.insert(name, address)),
                            None => drop(addresses.remove(&change.object.name)),
                        }
                    }
                }
                Event::Lost(_) | Event::Regained => continue,
            }
            let entries = addresses.len().max(1) as u32;
            drop(addresses);
            hub.set_entries(entries);
            hub.journal.record(Priority::Important, "entries", json!({ "count": entries }));
        }
    }
}

/// Answers another entry with all that is known from the store.
pub fn tell_all(hub: &Hub) -> Response {
    let mut text = Vec::new();
    if let Err(fault) = ciborium::into_writer(&hub.snapshot(), &mut text) {
        log::error!("cannot encode what is known: {fault}");
    }
    Response::new(Body::new(text))
}

fn address(object: &Object) -> Option<(String, SocketAddr)> {
    let address = object.value.get("address")?.as_str()?.parse().ok()?;
    Some((object.name.clone(), address))
}

async fn register(hub: &Hub, objects: &Objects) {
    let name = &hub.settings.name;
    let value = json!({ "address": hub.settings.peers.to_string() });
    let mut held = None;
    loop {
        match objects.put(KIND, name, &value, held).await {
            Ok(Written::Done(_)) => return,
            Ok(Written::Conflict(Some(object))) if object.value == value => return,
            Ok(Written::Conflict(object)) => held = object.map(|object| object.revision),
            Err(fault) => {
                let fields = json!({ "fault": fault.current_context().to_string() });
                hub.journal.record(Priority::Important, "not_registered", fields);
                tokio::time::sleep(REGISTER_PAUSE).await;
            }
        }
    }
}
