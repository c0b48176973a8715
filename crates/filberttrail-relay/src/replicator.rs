//! The task that owns the configuration store.

use bytes::Bytes;
use filberttrail_declare::store::News;
use filberttrail_declare::{Store, View};
use filberttrail_kernel::{Mechanism, Result, Without};
use filberttrail_protocol::Frame;
use filberttrail_store::configuration::IN_FORCE;
use filberttrail_store::{Platform, follow};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Frames to one peer.
pub type Peer = mpsc::UnboundedSender<Frame>;
/// Messages to the keeper.
pub type Inbox = mpsc::UnboundedSender<Message>;

/// How often missing parts are asked for again.
const RETRY: Duration = Duration::from_millis(500);
/// How often a process that does not follow reads the pointer.
pub const POLL: Duration = Duration::from_secs(4);

/// What the keeper is told.
#[derive(Debug)]
pub enum Message {
    /// A peer has connected; the id is the process's own count.
    Connected(u64, Peer),
    /// A peer has gone.
    Disconnected(u64),
    /// A peer or the platform (no id) has a manifest.
    Manifest(Option<u64>, Bytes),
    /// A peer or the platform has a part.
    Part(String, Bytes),
    /// A peer asks for a part.
    Want(u64, String),
}

/// How a process learns of changes from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// It keeps a watch waiting: entries.
    Watch,
    /// It reads now and then, since entries tell it sooner: sidecars.
    Poll,
}

/// The configuration of one process.
pub struct Replicator {
    store: Store,
    peers: HashMap<u64, Peer>,
    views: watch::Sender<Option<Arc<View>>>,
    platform: Option<Arc<Platform>>,
    inbox: Inbox,
    name: String,
}

impl Replicator {
    /// Starts the keeper; it ends when every inbox and the returned receiver are dropped.
    pub fn start(
        name: String,
        platform: Option<Arc<Platform>>,
        source: Source,
        without: &Without,
    ) -> (Inbox, watch::Receiver<Option<Arc<View>>>) {
        let (inbox, messages) = mpsc::unbounded_channel();
        let (views, view) = watch::channel(None);
        if let Some(platform) = platform.clone() {
            tokio::spawn(listen(platform, source, inbox.clone().downgrade()));
        }
        let weak = inbox.clone();
        let store = match without.has(Mechanism::Generations) {
            true => Store::new(),
            false => Store::new().with_any_generation(),
        };
        let replicator = Self { store, peers: HashMap::new(), views, platform, inbox: weak, name };
        tokio::spawn(replicator.run(messages));
        (inbox, view)
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut retry = tokio::time::interval(RETRY);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                _ = retry.tick() => self.ask_again(),
                () = self.views.closed() => return,
            }
        }
    }

    fn take(&mut self, message: Message) {
        let outcome = match message {
            Message::Connected(id, peer) => {
                if let Some(manifest) = self.store.manifest() {
                    let _ = peer.send(Frame::Manifest(manifest));
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
            Message::Manifest(from, manifest) => {
                let outcome = self.store.offer_manifest(&manifest);
                if let (Ok(News::Older), Some(from)) = (&outcome, from) {
                    self.tell(from);
                }
                outcome
            }
            Message::Part(digest, part) => self.store.offer_part(&digest, part),
        };
        self.follow_up(outcome);
    }

    fn follow_up(&mut self, outcome: Result<News>) {
        match outcome {
            Ok(News::Older | News::Same) => {}
            Ok(News::Wanting(digests)) => self.ask(&digests),
            Ok(News::Applied(view)) => {
                let generation = view.manifest.generation;
                let preset = &view.manifest.operation.preset;
                log::info!("{} applies generation {generation}, preset {preset}", self.name);
                self.views.send_replace(Some(view));
                for id in self.peers.keys().copied().collect::<Vec<_>>() {
                    self.tell(id);
                }
            }
            Err(fault) => log::warn!("configuration refused: {}", fault.current_context()),
        }
    }

    fn tell(&self, id: u64) {
        if let (Some(peer), Some(manifest)) = (self.peers.get(&id), self.store.manifest()) {
            let _ = peer.send(Frame::Manifest(manifest));
        }
    }

    fn ask_again(&mut self) {
        let missing = self.store.missing();
        if !missing.is_empty() {
            self.ask(&missing);
        }
    }

    fn ask(&self, digests: &[String]) {
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

async fn listen(
    platform: Arc<Platform>,
    source: Source,
    inbox: mpsc::WeakUnboundedSender<Message>,
) {
    if source == Source::Poll {
        return poll(&platform, inbox).await;
    }
    let (sender, mut manifests) = mpsc::channel(1);
    let following = async { follow::follow(&platform, sender).await };
    let passing = async move {
        while let Some(manifest) = manifests.recv().await {
            let Some(inbox) = inbox.upgrade() else { return };
            let _ = inbox.send(Message::Manifest(None, manifest));
        }
    };
    tokio::join!(following, passing);
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
            Err(fault) => log::debug!("cannot read the pointer: {}", fault.current_context()),
        }
        drop(inbox);
        tokio::time::sleep(follow::jitter(POLL)).await;
    }
}
