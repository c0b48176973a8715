//! A task that owns the configuration store of a process and exchanges configurations with its
//! peers and the platform. It also exchanges with the peers what is blamed for crashes.

use crate::blame::Blame;
use bytes::Bytes;
use filberttrail_declare::store::Outcome;
use filberttrail_declare::{Store, View};
use filberttrail_fleet::blame::Report;
use filberttrail_kernel::{Disabled, Mechanism, Result};
use filberttrail_protocol::Frame;
use filberttrail_store::configuration::IN_FORCE;
use filberttrail_store::{Platform, follow};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The queue of frames to send to one peer.
pub type Peer = mpsc::UnboundedSender<Frame>;
/// The queue of messages to the replicator.
pub type Inbox = mpsc::UnboundedSender<Message>;

/// Interval at which missing parts are requested again.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which peers are told again what is blamed for crashes. Those that were connected when
/// it was news know it; this is for peers that have forgotten it.
const BLAME_PERIOD: Duration = Duration::from_secs(10);
/// Longest interval at which a process with `Source::Poll` reads which configuration is in force;
/// the actual interval is at least half of it, at random.
pub const POLL_PERIOD: Duration = Duration::from_secs(4);

/// An event that the replicator handles.
#[derive(Debug)]
pub enum Message {
    /// A peer has connected. The id is unique within the process.
    Connected(u64, Peer),
    /// A peer has disconnected.
    Disconnected(u64),
    /// A manifest was received from a peer, or from the platform if there is no id.
    Manifest(Option<u64>, Bytes),
    /// A configuration part was received, with its digest.
    Part(String, Bytes),
    /// A peer requests the part with this digest.
    Want(u64, String),
    /// A peer reports what it blames for crashes.
    Blame(Report),
}

/// How a process learns about configuration changes on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Watches the platform. Entries use this.
    Watch,
    /// Polls the platform rarely, because entries usually send changes earlier. Sidecars use
    /// this.
    Poll,
}

/// Keeps the configuration of one process up to date.
pub struct Replicator {
    store: Store,
    peers: HashMap<u64, Peer>,
    views: watch::Sender<Option<Arc<View>>>,
    platform: Option<Arc<Platform>>,
    blame: Arc<Blame>,
    inbox: Inbox,
    name: String,
}

impl Replicator {
    /// Starts the replicator as a task of the current runtime. Returns its inbox and the applied
    /// configuration. The task ends when all copies of the returned receiver are dropped.
    pub fn start(
        name: String,
        platform: Option<Arc<Platform>>,
        source: Source,
        disabled: &Disabled,
        blame: Arc<Blame>,
    ) -> (Inbox, watch::Receiver<Option<Arc<View>>>) {
        let (inbox, messages) = mpsc::unbounded_channel();
        let (views, view) = watch::channel(None);
        if let Some(platform) = platform.clone() {
            tokio::spawn(follow_platform(platform, source, inbox.clone().downgrade()));
        }
        let own_inbox = inbox.clone();
        let store = match disabled.is_enabled(Mechanism::Generations) {
            true => Store::new(),
            false => Store::new().with_any_generation(),
        };
        let replicator =
            Self { store, peers: HashMap::new(), views, platform, blame, inbox: own_inbox, name };
        tokio::spawn(replicator.run(messages));
        (inbox, view)
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut retry = tokio::time::interval(RETRY_PERIOD);
        let mut blame_reminder = tokio::time::interval(BLAME_PERIOD);
        let blame = self.blame.clone();
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = retry.tick() => {
                    self.request_missing_parts();
                    self.blame.remove_expired();
                }
                () = blame.changed() => self.send_blame(),
                _ = blame_reminder.tick() => self.send_blame(),
                () = self.views.closed() => return,
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let outcome = match message {
            Message::Connected(id, peer) => {
                if let Some(manifest) = self.store.manifest() {
                    let _ = peer.send(Frame::Manifest(manifest));
                }
                if let Some(report) = self.blame.report() {
                    let _ = peer.send(Frame::Blame(report));
                }
                self.peers.insert(id, peer);
                return;
            }
            Message::Disconnected(id) => {
                self.peers.remove(&id);
                return;
            }
            Message::Want(id, digest) => {
                if let (Some(peer), Some(part)) = (self.peers.get(&id), self.store.part(&digest)) {
                    let _ = peer.send(Frame::Part(digest, part));
                }
                return;
            }
            Message::Blame(report) => return self.blame.receive(&report),
            Message::Manifest(from, manifest) => {
                let outcome = self.store.offer_manifest(&manifest);
                if let (Ok(Outcome::Stale), Some(from)) = (&outcome, from) {
                    self.send_manifest(from);
                }
                outcome
            }
            Message::Part(digest, part) => self.store.offer_part(&digest, part),
        };
        self.handle_outcome(outcome);
    }

    fn handle_outcome(&mut self, outcome: Result<Outcome>) {
        match outcome {
            Ok(Outcome::Stale | Outcome::Unchanged) => {}
            Ok(Outcome::Incomplete(digests)) => self.request_parts(&digests),
            Ok(Outcome::Applied(view)) => {
                let generation = view.manifest.generation;
                let preset = &view.manifest.operation.preset;
                log::info!("{} applies generation {generation}, preset {preset}", self.name);
                self.views.send_replace(Some(view));
                for id in self.peers.keys().copied().collect::<Vec<_>>() {
                    self.send_manifest(id);
                }
            }
            Err(error) => log::warn!("rejected a configuration: {}", error.current_context()),
        }
    }

    fn send_manifest(&self, id: u64) {
        if let (Some(peer), Some(manifest)) = (self.peers.get(&id), self.store.manifest()) {
            let _ = peer.send(Frame::Manifest(manifest));
        }
    }

    fn send_blame(&self) {
        let Some(report) = self.blame.report() else { return };
        for peer in self.peers.values() {
            let _ = peer.send(Frame::Blame(report.clone()));
        }
    }

    fn request_missing_parts(&mut self) {
        let missing = self.store.missing();
        if !missing.is_empty() {
            self.request_parts(&missing);
        }
    }

    fn request_parts(&self, digests: &[String]) {
        for peer in self.peers.values() {
            for digest in digests {
                let _ = peer.send(Frame::Want(digest.clone()));
            }
        }
        if let Some(platform) = self.platform.clone() {
            let (inbox, digests) = (self.inbox.clone(), digests.to_vec());
            tokio::spawn(async move {
                for (digest, part) in follow::fetch_parts(&platform, &digests).await {
                    let _ = inbox.send(Message::Part(digest, part));
                }
            });
        }
    }
}

async fn follow_platform(
    platform: Arc<Platform>,
    source: Source,
    inbox: mpsc::WeakUnboundedSender<Message>,
) {
    if source == Source::Poll {
        return poll(&platform, inbox).await;
    }
    let (sender, mut manifests) = mpsc::channel(1);
    let following = async { follow::follow(&platform, sender).await };
    let forwarding = async move {
        while let Some(manifest) = manifests.recv().await {
            let Some(inbox) = inbox.upgrade() else { return };
            let _ = inbox.send(Message::Manifest(None, manifest));
        }
    };
    tokio::join!(following, forwarding);
}

async fn poll(platform: &Platform, inbox: mpsc::WeakUnboundedSender<Message>) {
    loop {
        let read = platform.read(IN_FORCE).await;
        let Some(inbox) = inbox.upgrade() else { return };
        match read {
            Ok(Some(object)) => {
                let _ = inbox.send(Message::Manifest(None, object.value));
            }
            Ok(None) => {}
            Err(error) => log::debug!("cannot read the manifest: {}", error.current_context()),
        }
        drop(inbox);
        tokio::time::sleep(follow::jitter(POLL_PERIOD)).await;
    }
}
