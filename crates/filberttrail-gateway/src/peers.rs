//! Messages between entries. Each entry advertises its requests in flight and the revisions up to
//! which it has followed the store. An entry that receives a higher revision than its own reads the
//! store again, and if the store does not respond, fetches a snapshot from the other entry.

use crate::id_hash::IdHash;
use crate::{Hub, Settings};
use filberttrail_fleet::snapshot::Progress;
use filberttrail_fleet::{Snapshot, upstream};
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

/// The kind of object under which entries register to discover each other.
pub const KIND: &str = "filberttrail-entries";
/// Period of the messages while there is load and the number of entries is small.
const ADVERTISE_PERIOD: Duration = Duration::from_millis(100);
/// Number of entries up to which that period applies. With more entries the period grows, so that
/// each entry receives about the same number of messages per second.
const ADVERTISE_ENTRIES: u32 = 40;
/// Upper bound on the period. Other entries consider an entry silent after 1.3 s.
const ADVERTISE_PERIOD_LIMIT: Duration = Duration::from_millis(300);
/// Number of periods between messages while nothing changes. They continue because an entry that
/// lags behind reads the store again only on a second message.
const IDLE_ROUNDS: u64 = 4;
/// Maximum size of a message, in bytes. It fits into one datagram on common networks.
const MESSAGE_LIMIT: usize = 8_192;
/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// A message between entries.
#[derive(Debug, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sending entry.
    pub entry: String,
    /// Data centre of the sending entry.
    pub data_centre: String,
    /// Number of the entry's requests in flight, per upstream.
    pub loads: Vec<(IdHash, u32)>,
    /// Revision of the last change of each kind of object that the entry read from the store.
    pub changed: Progress,
    /// Upstreams that have said that they are about to stop, with their incarnations.
    #[serde(default)]
    pub leaving: Vec<(IdHash, upstream::Incarnation)>,
}

/// Notifications that interrupt a pending watch of the store, per kind of object.
#[derive(Default)]
pub struct WatchWakes {
    /// Interrupts the watch of upstreams.
    pub upstreams: Arc<Notify>,
    /// Interrupts the watch of the configuration.
    pub configuration: Arc<Notify>,
    /// Interrupts the watch of data centres out of service.
    pub outs: Arc<Notify>,
}

/// Time for which this entry may lag behind before it reads the store again. Watches receive the
/// same change at about the same time, so a shorter lag is normal.
const WAKE_DELAY: Duration = Duration::from_millis(250);
/// Minimum interval between two such reads.
const WAKE_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which this entry may lag behind before it fetches a snapshot.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for fetching a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a snapshot, in bytes.
const SNAPSHOT_LIMIT: usize = 8 << 20;

/// The other entries and the messages to and from them.
#[derive(Default)]
pub struct Peers {
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
    /// Notifications that interrupt the pending watches of the store.
    pub wakes: WatchWakes,
    client: Client,
    lag: Mutex<Lag>,
}

/// How far this entry lags behind the others in following the store.
#[derive(Default)]
struct Lag {
    /// Newest revisions that other entries advertised.
    newest: Progress,
    /// Time since which this entry lags behind.
    since: Option<Duration>,
    /// Time at which watches were last interrupted.
    woken_at: Duration,
    /// Time at which a snapshot was last fetched.
    fetched_at: Duration,
}

impl Peers {
    fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Advertises this entry's load and revisions to the others, and removes expired state, until
    /// the task is aborted.
    pub async fn run_advertise(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut idle = false;
        let mut advertised = Progress::default();
        for round in 0u64.. {
            let entries = self.addresses().len() as u32;
            let period = ADVERTISE_PERIOD * entries.max(ADVERTISE_ENTRIES) / ADVERTISE_ENTRIES;
            tokio::time::sleep(period.min(ADVERTISE_PERIOD_LIMIT)).await;
            hub.remove_expired();
            if hub.take_restore_end() {
                self.wakes.upstreams.notify_one();
                self.wakes.outs.notify_one();
            }
            let loads = hub.own_loads();
            let changed = hub.latest_changes();
            let due = round.is_multiple_of(IDLE_ROUNDS);
            if loads.is_empty() && idle && changed == advertised && !due {
                continue;
            }
            idle = loads.is_empty();
            advertised = changed;
            let Settings { name, data_centre, .. } = &hub.settings;
            let (entry, data_centre) = (name.clone(), data_centre.clone());
            let leaving = hub.leaving_upstreams();
            let message = Message { entry, data_centre, loads, changed, leaving };
            let mut encoded = Vec::new();
            if let Err(error) = ciborium::into_writer(&message, &mut encoded) {
                log::error!("cannot encode the message to the other entries: {error}");
                continue;
            }
            for (name, address) in self.addresses() {
                if name != hub.settings.name {
                    // A congested link may drop datagrams. The next message carries the same state.
                    let _ = socket.try_send_to(&encoded, address);
                }
            }
        }
    }

    /// Receives the messages of the other entries.
    pub async fn run_receive(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MESSAGE_LIMIT];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(ADVERTISE_PERIOD).await;
                continue;
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => {
                    hub.receive_leaving(&message.leaving);
                    let loads: HashMap<IdHash, u32> = message.loads.into_iter().collect();
                    hub.receive_load(message.entry, message.data_centre, loads);
                    self.catch_up(&hub, &message.changed, from);
                }
                Err(error) => {
                    let fields = json!({ "from": from.to_string(), "fault": error.to_string() });
                    hub.journal.record(Priority::Ordinary, "unreadable_message", fields);
                }
            }
        }
    }

    /// Interrupts the watches of the store for the kinds of which another entry knows a later
    /// change, and fetches a snapshot from that entry if the lag persists.
    fn catch_up(self: &Arc<Self>, hub: &Arc<Hub>, changed: &Progress, from: SocketAddr) {
        let now = hub.now();
        let followed = hub.followed_revisions();
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        lag.newest = lag.newest.max(changed);
        if !lag.newest.is_ahead_of(&followed) {
            lag.since = None;
            return;
        }
        let since = *lag.since.get_or_insert(now);
        // The sender may lag behind as well. Only an entry that is ahead can help.
        if !changed.is_ahead_of(&followed) {
            return;
        }
        if now < since + WAKE_DELAY {
            return;
        }
        if now >= lag.woken_at + WAKE_INTERVAL {
            lag.woken_at = now;
            let fields =
                json!({ "seen": format!("{followed:?}"), "heard": format!("{changed:?}") });
            hub.journal.record(Priority::Important, "behind", fields);
            let pairs = [
                (changed.upstreams > followed.upstreams, &self.wakes.upstreams),
                (changed.configuration > followed.configuration, &self.wakes.configuration),
                (changed.outs > followed.outs, &self.wakes.outs),
            ];
            pairs.iter().filter(|(newer, _)| *newer).for_each(|(_, wake)| wake.notify_one());
        }
        if now >= since + SNAPSHOT_DELAY && now >= lag.fetched_at + SNAPSHOT_INTERVAL {
            lag.fetched_at = now;
            let (peers, hub) = (self.clone(), hub.clone());
            tokio::spawn(async move { peers.fetch_snapshot(&hub, from).await });
        }
    }

    async fn fetch_snapshot(&self, hub: &Hub, address: SocketAddr) {
        let request = hyper::Request::builder()
            .uri("/")
            .header(hyper::header::HOST, address.to_string())
            .body(Body::empty());
        let Ok(request) = request else { return };
        let response = self.client.fetch(address, request, SNAPSHOT_TIMEOUT, SNAPSHOT_LIMIT).await;
        let snapshot = response.map_err(|error| error.to_string()).and_then(|response| {
            ciborium::from_reader::<Snapshot, _>(&response.body()[..])
                .map_err(|error| error.to_string())
        });
        let fields = json!({
            "from": address.to_string(),
            "seen": snapshot.as_ref().ok().map(|snapshot| format!("{:?}", snapshot.seen)),
            "fault": snapshot.as_ref().err(),
        });
        hub.journal.record(Priority::Important, "asked_entry", fields);
        if let Ok(snapshot) = snapshot {
            hub.merge_snapshot(snapshot);
        }
    }

    /// Registers this entry and follows the registrations of the others.
    pub async fn run_follow(self: Arc<Self>, hub: Arc<Hub>, objects: Arc<Objects>) {
        register(&hub, &objects).await;
        let mut events = objects.follow(KIND, Arc::default());
        while let Some(event) = events.recv().await {
            let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
            match event {
                Event::All(all, _) => {
                    *addresses = all.iter().filter_map(decode_address).collect();
                    // A restored store may lack this entry's registration.
                    if addresses.get(&hub.settings.name) != Some(&hub.settings.peers) {
                        let (hub, objects) = (hub.clone(), objects.clone());
                        tokio::spawn(async move { register(&hub, &objects).await });
                    }
                }
                Event::Changed(changes, _) => {
                    for change in changes {
                        match decode_address(&change.object).filter(|_| !change.removed) {
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

/// Responds to another entry with a snapshot of all state that was read from the store.
pub fn serve_snapshot(hub: &Hub) -> Response {
    let mut encoded = Vec::new();
    if let Err(error) = ciborium::into_writer(&hub.snapshot(), &mut encoded) {
        log::error!("cannot encode the snapshot for another entry: {error}");
    }
    Response::new(Body::new(encoded))
}

fn decode_address(object: &Object) -> Option<(String, SocketAddr)> {
    let address = object.value.get("address")?.as_str()?.parse().ok()?;
    Some((object.name.clone(), address))
}

async fn register(hub: &Hub, objects: &Objects) {
    let name = &hub.settings.name;
    let value = json!({ "address": hub.settings.peers.to_string() });
    let mut expected_revision = None;
    loop {
        match objects.put(KIND, name, &value, expected_revision).await {
            Ok(Written::Done(_)) => return,
            Ok(Written::Conflict(Some(object))) if object.value == value => return,
            Ok(Written::Conflict(object)) => {
                expected_revision = object.map(|object| object.revision)
            }
            Err(error) => {
                let fields = json!({ "fault": error.current_context().to_string() });
                hub.journal.record(Priority::Important, "not_registered", fields);
                tokio::time::sleep(REGISTER_RETRY_DELAY).await;
            }
        }
    }
}
