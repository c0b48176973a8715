//! Communication between entries. Each entry advertises its requests in flight and the revisions of
//! the changes that it knows. An entry that receives a higher revision than its own reads the store
//! again, and if the store does not respond, fetches a snapshot from the other entry.
//!
//! In a large estate, entries send to relays, and only relays watch the store (see
//! [`filberttrail_fleet::overlay`]). The others fetch each change from a relay.

use crate::follow::{self, Pick, RELAXED_CHECK_INTERVAL, Update};
use crate::id_hash::IdHash;
use crate::message::{self, Kind, Message};
use crate::presence::PRESENCE_INTERVAL;
use crate::registry::{KIND, Registry, read_entry};
use crate::{Hub, Settings};
use filberttrail_fleet::Overlay;
use filberttrail_fleet::presence::Hearing;
use filberttrail_fleet::snapshot::{Entry, Progress};
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::digest::stable_hash;
use filberttrail_store::Objects;
use filberttrail_web::Client;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

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
/// Period of the messages to and between relays. Loads pass two relays, so they are up to three
/// periods old; streams are placed by them several times a second on each upstream.
const RELAY_PERIOD: Duration = Duration::from_millis(100);
/// Sender under which the answers of relays are counted. They replace each other, because each
/// contains the load of all other entries.
const RELAYED: &str = "";
/// Prefix of the sender under which the load of another data centre is counted.
const DATA_CENTRE_PREFIX: char = '/';
/// Delay before the entries are read from the store when the whole system starts for the first
/// time, so that most of them have registered.
const FIRST_START_DELAY: Duration = Duration::from_millis(800);

/// Notifications that interrupt a pending watch of the store, per kind of object.
#[derive(Default)]
pub struct WatchWakes {
    /// Interrupts the watch of slow upstreams.
    pub slowdowns: Arc<Notify>,
    /// Interrupts the watch of entries.
    pub entries: Arc<Notify>,
    /// Interrupts the watch of upstreams.
    pub upstreams: Arc<Notify>,
    /// Interrupts the watch of the configuration.
    pub configuration: Arc<Notify>,
    /// Interrupts the watch of data centres out of service.
    pub outs: Arc<Notify>,
}

impl WatchWakes {
    fn notify_all(&self) {
        let kinds = [&self.upstreams, &self.configuration, &self.outs];
        let others = [&self.slowdowns, &self.entries];
        kinds.into_iter().chain(others).for_each(|wake| wake.notify_one());
    }
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
/// Minimum interval between two snapshots from a relay.
const COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the report of another data centre's relay is preferred to one with fewer entries.
const SUM_LIFETIME: Duration = Duration::from_millis(800);

/// The load of another data centre, as one of its relays last reported it.
struct Sum {
    sender: String,
    entries: usize,
    received_at: Duration,
}

/// The other entries and the messages to and from them.
pub struct Peers {
    /// All registered entries, this one included, by name.
    entries: Mutex<Arc<BTreeMap<String, Entry>>>,
    overlay: Mutex<Overlay>,
    /// The reports of other data centres that are in use, by data centre.
    sums: Mutex<HashMap<String, Sum>>,
    /// Whether this entry watches the store, and whether it watches the entries.
    watching: watch::Sender<bool>,
    watching_entries: watch::Sender<bool>,
    objects: Arc<Objects>,
    registry: Arc<Registry>,
    /// Notifications that interrupt the pending watches of the store.
    pub wakes: WatchWakes,
    pub(crate) client: Client,
    pub(crate) lag: Mutex<Lag>,
}

/// How far this entry lags behind the others in following the store.
#[derive(Default)]
pub(crate) struct Lag {
    /// Newest revisions that other entries advertised.
    newest: Progress,
    /// Time since which this entry lags behind.
    since: Option<Duration>,
    /// Time at which watches were last interrupted.
    woken_at: Duration,
    /// Time at which a snapshot was last fetched.
    fetched_at: Duration,
    /// Whether a snapshot is being fetched.
    pub(crate) fetching: bool,
}

impl Peers {
    /// Creates the state of an entry that knows no others.
    pub fn new(objects: Arc<Objects>, now: Duration, apply_within: Duration) -> Arc<Self> {
        let (watching, _) = watch::channel(false);
        let (watching_entries, _) = watch::channel(true);
        Arc::new(Self {
            entries: Mutex::default(),
            overlay: Mutex::new(Overlay::new(now, apply_within)),
            sums: Mutex::default(),
            watching,
            watching_entries,
            objects,
            registry: Arc::default(),
            wakes: WatchWakes::default(),
            client: Client::new(),
            lag: Mutex::default(),
        })
    }

    /// Returns whether this entry watches the store.
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    pub(crate) fn entries(&self) -> Arc<BTreeMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn overlay(&self) -> MutexGuard<'_, Overlay> {
        self.overlay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or stops watching the store, depending on the number of entries and on the age of what
    /// relays prove.
    fn update_watching(&self, hub: &Hub) {
        let entries = self.entries().len();
        let now = hub.now();
        // Without any entry known, only the silence of relays counts.
        let watches = self.overlay().watches_store(now, entries.max(1))
            && (entries > 0 || self.overlay().is_unserved(now));
        let set = |sender: &watch::Sender<bool>, value: bool| {
            sender.send_if_modified(|current| std::mem::replace(current, value) != value)
        };
        if set(&self.watching, watches) {
            let ages = hub.currency.ages();
            let fields = json!({
                "watching": watches, "entries": entries, "relays": self.overlay().is_relay(now),
                "configuration_age_ms": ages.configuration, "upstreams_age_ms": ages.upstreams,
                "outs_age_ms": ages.outs,
            });
            hub.journal.record(Priority::Important, "watching", fields);
        }
        set(&self.watching_entries, watches || entries == 0);
        let limit = self.overlay().retry_delay_limit(now, entries.max(1));
        self.objects.set_retry_delay_limit(limit);
    }

    /// Advertises this entry's load and revisions to the others, and removes expired state, until
    /// the task is aborted.
    pub async fn run_advertise(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut idle = false;
        let mut advertised = Progress::default();
        let mut presence_at = Duration::ZERO;
        for round in 0u64.. {
            let entries = self.entries().len() as u32;
            let direct = Overlay::is_direct(entries as usize);
            let period = ADVERTISE_PERIOD * entries.max(ADVERTISE_ENTRIES) / ADVERTISE_ENTRIES;
            let period = if direct { period } else { RELAY_PERIOD };
            let urgent = tokio::select! {
                () = tokio::time::sleep(period.min(ADVERTISE_PERIOD_LIMIT)) => false,
                () = hub.blame.changed.notified() => true,
            };
            if hub.record_tick() {
                self.wakes.notify_all();
            }
            self.update_watching(&hub);
            self.update_presence(&hub, direct, &mut presence_at);
            hub.remove_expired();
            if hub.take_restore_end() {
                self.wakes.upstreams.notify_one();
                self.wakes.outs.notify_one();
            }
            if !direct {
                self.send_to_relays(&hub, &socket);
                continue;
            }
            let loads = hub.own_loads();
            let changed = hub.latest_changes();
            let due = urgent || round.is_multiple_of(IDLE_ROUNDS);
            if loads.is_empty() && idle && changed == advertised && !due {
                continue;
            }
            idle = loads.is_empty();
            advertised = changed;
            let Some(encoded) = encode(&build_message(&hub, Kind::Load, loads)) else { continue };
            for (name, entry) in self.entries().iter() {
                if *name != hub.settings.name {
                    send(&socket, &encoded, entry.address);
                }
            }
        }
    }

    /// Looks at which other entries run, from time to time, and at the registrations of those that
    /// are gone.
    fn update_presence(&self, hub: &Arc<Hub>, direct: bool, next_at: &mut Duration) {
        let now = hub.now();
        hub.set_hearing(match direct {
            true => Hearing::All,
            false if self.overlay().is_relay(now) => Hearing::DataCentre,
            false => Hearing::Relays,
        });
        if now >= *next_at {
            *next_at = now + PRESENCE_INTERVAL;
            hub.update_presence();
            self.registry.collect(hub, &self.objects);
        }
    }

    /// Sends this entry's load to the relays of its data centre and, if it acts as a relay itself,
    /// the load of the data centre to the relays of the others.
    fn send_to_relays(&self, hub: &Hub, socket: &UdpSocket) {
        let now = hub.now();
        let entries = self.entries();
        let Settings { name, data_centre, .. } = &hub.settings;
        let located: BTreeMap<String, String> =
            entries.iter().map(|(name, entry)| (name.clone(), entry.data_centre.clone())).collect();
        let send_to = |relays: &[String], message: &Message| {
            let Some(encoded) = encode(message) else { return };
            for relay in relays.iter().filter(|relay| *relay != name) {
                if let Some(entry) = entries.get(relay) {
                    self.overlay().record_sent(now, relay);
                    send(socket, &encoded, entry.address);
                }
            }
        };
        let mut relays = self.overlay().choose_relays(&located, data_centre, now);
        // The first to answer with a change is asked for it, so half of the entries start with each.
        if stable_hash(name.as_bytes()).is_multiple_of(2) {
            relays.reverse();
        }
        let wanted = hub.subset_upstreams(message::UPSTREAMS_LIMIT);
        let ask = Kind::Ask { wanted, asked_at: now.as_millis() as u64 };
        send_to(&relays, &build_message(hub, ask, hub.own_loads()));
        if !self.overlay().is_relay(now) {
            return;
        }
        let is_local = |sender: &str| sender != RELAYED && !sender.starts_with(DATA_CENTRE_PREFIX);
        let mut sums = hub.read_loads(|loads| loads.sums_of(is_local));
        for (hash, load) in hub.own_loads() {
            *sums.entry(hash).or_default() += load;
        }
        let members = hub.read_loads(|loads| loads.count_senders(is_local)) + 1;
        let message =
            build_message(hub, Kind::Sum { entries: members }, sums.into_iter().collect());
        let others: BTreeSet<&String> =
            located.values().filter(|located| *located != data_centre).collect();
        for other in others {
            let relays = self.overlay().choose_relays(&located, other, now);
            send_to(&relays, &message);
        }
    }

    /// Receives the messages of the other entries.
    pub async fn run_receive(self: Arc<Self>, hub: Arc<Hub>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; message::SIZE_LIMIT];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(ADVERTISE_PERIOD).await;
                continue;
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => {
                    let changed = message.changed;
                    self.receive(&hub, message, &socket, from);
                    self.catch_up(&hub, &changed, from);
                }
                Err(error) => {
                    let fields = json!({ "from": from.to_string(), "fault": error.to_string() });
                    hub.journal.record(Priority::Ordinary, "unreadable_message", fields);
                }
            }
        }
    }

    fn receive(&self, hub: &Hub, message: Message, socket: &UdpSocket, from: SocketAddr) {
        let now = hub.now();
        let Message {
            kind, entry, data_centre, loads, changed, ages, leaving, blame, silent, ..
        } = message;
        let asked_at = match kind {
            Kind::Answer { asked_at, .. } => Some(Duration::from_millis(asked_at)),
            _ => None,
        };
        let proven_at = hub.accept_proofs(asked_at, &ages, &changed);
        hub.receive_leaving(&leaving);
        hub.receive_limits(&message.limits);
        let pass_on = !Overlay::is_direct(self.entries().len());
        hub.blame.receive(&blame, pass_on);
        hub.pause_crashed(&blame);
        hub.record_news();
        hub.record_message(&entry);
        let known = hub.blame.count_condemned();
        if message.verdicts.is_some_and(|verdicts| known >= verdicts as usize) {
            hub.note_verdicts_known();
        }
        hub.record_heard(&data_centre, Duration::ZERO);
        match kind {
            Kind::Load => hub.receive_load(&entry, loads),
            Kind::Ask { wanted, asked_at } => {
                self.overlay().record_asked(now);
                hub.receive_load(RELAYED, Vec::new());
                hub.receive_load(&entry, loads);
                let mut sums = hub.read_loads(|loads| loads.sums_without(&entry, &wanted));
                sums.extend(hub.own_loads().into_iter().filter(|(hash, _)| wanted.contains(hash)));
                let heard = hub.heard().into_iter();
                let heard = heard.map(|(name, age)| (name, age.as_millis() as u64)).collect();
                let kind = Kind::Answer { heard, asked_at };
                if let Some(encoded) = encode(&build_message(hub, kind, sums)) {
                    send(socket, &encoded, from);
                }
            }
            Kind::Answer { heard, .. } => {
                self.overlay().record_answer(now, &entry, proven_at);
                for (name, age_ms) in heard {
                    hub.record_heard(&name, Duration::from_millis(age_ms));
                }
                // A relay hears the entries of its data centre, and relays of others report to it. What
                // it told itself must not come back to it.
                if !self.overlay().is_relay(now) {
                    hub.receive_load(RELAYED, loads);
                    hub.receive_silent(&silent);
                }
            }
            Kind::Sum { entries } => {
                let mut overlay = self.overlay();
                overlay.record_asked(now);
                overlay.record_answer(now, &entry, None);
                drop(overlay);
                hub.receive_silent(&silent);
                if self.accept_sum(now, &data_centre, &entry, entries) {
                    hub.receive_load(&format!("{DATA_CENTRE_PREFIX}{data_centre}"), loads);
                }
            }
        }
    }

    /// Returns whether the load that a relay of another data centre reports replaces the one in
    /// use: the report with the most entries is used.
    fn accept_sum(&self, now: Duration, data_centre: &str, sender: &str, entries: usize) -> bool {
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let better = sums.get(data_centre).is_none_or(|sum| {
            sum.sender == sender || entries > sum.entries || now >= sum.received_at + SUM_LIFETIME
        });
        if better {
            let sum = Sum { sender: sender.to_string(), entries, received_at: now };
            sums.insert(data_centre.to_string(), sum);
        }
        better
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
        if !*self.watching.borrow() {
            // Relays watch the store for this entry, so the change is fetched immediately.
            if !lag.fetching && now >= lag.fetched_at + COPY_INTERVAL {
                lag.fetched_at = now;
                lag.fetching = true;
                let (peers, hub) = (self.clone(), hub.clone());
                tokio::spawn(async move { peers.fetch_snapshot(&hub, from).await });
            }
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
                (changed.slowdowns > followed.slowdowns, &self.wakes.slowdowns),
                (changed.entries > followed.entries, &self.wakes.entries),
            ];
            pairs.iter().filter(|(newer, _)| *newer).for_each(|(_, wake)| wake.notify_one());
        }
        if now >= since + SNAPSHOT_DELAY
            && now >= lag.fetched_at + SNAPSHOT_INTERVAL
            && !lag.fetching
        {
            lag.fetched_at = now;
            lag.fetching = true;
            let (peers, hub) = (self.clone(), hub.clone());
            tokio::spawn(async move { peers.fetch_snapshot(&hub, from).await });
        }
    }

    pub(crate) fn set_entries(&self, hub: &Arc<Hub>, entries: BTreeMap<String, Entry>) {
        self.registry.note_entries(hub, &self.objects, &entries);
        hub.set_entries(&entries);
        let count = entries.len();
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(entries);
        hub.journal.record(Priority::Important, "entries", json!({ "count": count }));
        self.update_watching(hub);
    }

    /// Registers this entry and follows the registrations of the others.
    pub async fn run_follow(self: Arc<Self>, hub: Arc<Hub>) {
        let objects = self.objects.clone();
        self.registry.register(&hub, &objects).await;
        if hub.settings.first_start {
            tokio::time::sleep(FIRST_START_DELAY).await;
        }
        let active = self.watching_entries.subscribe();
        let proof = hub.currency.entries.clone();
        let wake = self.wakes.entries.clone();
        let mut events = objects.follow(KIND, RELAXED_CHECK_INTERVAL, proof.clone(), wake, active);
        while let Some(event) = events.recv().await {
            let pick: Pick = |progress| &mut progress.entries;
            let update = follow::record_event(&hub, KIND, pick, &proof, event);
            let mut entries = (*self.entries()).clone();
            match update {
                Some(Update::All(all)) => {
                    entries = all.iter().filter_map(|object| read_entry(&hub, object)).collect();
                }
                Some(Update::Changed(changes)) => {
                    for change in changes {
                        entries.remove(&change.object.name);
                        if !change.removed {
                            entries.extend(read_entry(&hub, &change.object));
                        }
                    }
                }
                None => continue,
            }
            let data_centres: BTreeSet<&String> =
                entries.values().map(|entry| &entry.data_centre).collect();
            objects.set_checkers(Overlay::count_watchers(entries.len(), data_centres.len()));
            self.set_entries(&hub, entries);
        }
    }
}

fn build_message(hub: &Hub, kind: Kind, loads: Vec<(IdHash, u32)>) -> Message {
    let silent = match kind {
        Kind::Load | Kind::Ask { .. } => Vec::new(),
        Kind::Answer { .. } => hub.report_silent(false),
        Kind::Sum { .. } => hub.report_silent(true),
    };
    Message {
        kind,
        entry: hub.settings.name.clone(),
        data_centre: hub.settings.data_centre.clone(),
        loads,
        changed: hub.latest_changes(),
        ages: hub.currency.ages(),
        leaving: hub.leaving_upstreams(),
        limits: hub.told_limits(),
        blame: hub.blame.report(),
        silent,
        verdicts: hub.knows_verdicts().then(|| hub.blame.count_condemned() as u32),
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut encoded = Vec::new();
    if let Err(error) = ciborium::into_writer(message, &mut encoded) {
        log::error!("cannot encode the message to the other entries: {error}");
        return None;
    }
    Some(encoded)
}

fn send(socket: &UdpSocket, encoded: &[u8], address: SocketAddr) {
    // A congested link may drop datagrams. The next message carries the same state.
    let _ = socket.try_send_to(encoded, address);
}
