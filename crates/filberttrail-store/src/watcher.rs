//! Follows the objects of a kind: lists them, and then watches for changes.
//!
//! The silence of a pending watch proves nothing. A watch that reached the store during an outage is
//! never answered, although its connection stays open and the store is back. So while a watch waits,
//! the store is asked for changes whenever nothing else has proven for some time that there are none.
//! Stale reads prove nothing: they may be seconds behind.

use crate::feed::{Event, Objects, Position, Revision};
use crate::follow::jitter;
use crate::proof::Proof;
use crate::revision;
use filberttrail_kernel::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// The duration of one watch request.
const WATCH_DURATION: Duration = Duration::from_millis(25_000);
/// The maximum delay after a response with changes, so that further changes arrive in one batch. It
/// must stay well below the few seconds within which changes have to come into force. The delay is
/// random, because all processes receive a change at the same time: watches that are sent at the
/// same time can be lost together.
const BATCH_DELAY_LIMIT: Duration = Duration::from_millis(400);
/// The initial delay before a retry, doubled after each failure up to the limit that is set.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What is known about the store's responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// The last request was answered.
    Responding,
    /// The last request failed.
    Lost,
}

/// The result of one request.
enum Step {
    /// Changes or a list, up to this position.
    Read(Event, Position),
    /// The objects have to be listed again.
    Relist,
    /// The follower was deactivated.
    Deactivated,
}

/// Follows the objects of one kind.
pub(crate) struct Watcher {
    objects: Arc<Objects>,
    kind: &'static str,
    check_interval: Duration,
    proof: Arc<Proof>,
    events: mpsc::Sender<Event>,
    last_seen: Option<Revision>,
    /// The time of the last request that was answered with a list or with changes.
    read_at: Option<Duration>,
    trust: Trust,
}

impl Watcher {
    /// Creates a watcher that has not listed the objects yet.
    pub(crate) fn new(
        objects: Arc<Objects>,
        kind: &'static str,
        check_interval: Duration,
        proof: Arc<Proof>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (last_seen, read_at, trust) = (None, None, Trust::Responding);
        Self { objects, kind, check_interval, proof, events, last_seen, read_at, trust }
    }

    /// Follows the objects until the receiver of the events is dropped. `wake` lists them again.
    /// While `active` is false, nothing is requested from the store.
    pub(crate) async fn run(mut self, wake: &Notify, mut active: watch::Receiver<bool>) {
        let mut delay = RETRY_DELAY;
        // While the store is unavailable, all kinds share one probe, which includes the delay.
        let mut probe = None;
        let mut era = self.objects.subscribe_era();
        while !self.events.is_closed() {
            let seen_era = self.last_seen.map(revision::era);
            let is_active = *active.borrow();
            if !is_active && self.trust == Trust::Lost {
                // What it last saw of the store says nothing while it asks for nothing.
                self.trust = Trust::Responding;
                let _ = self.events.send(Event::Unwatched).await;
            }
            // Closing the channel leaves the last value in force.
            let _ = active.wait_for(|active| *active).await;
            let mut inactive = active.clone();
            let waits = self.trust == Trust::Responding && self.last_seen.is_some();
            let step = tokio::select! {
                step = self.request() => step,
                step = self.check_until_changed(), if waits => step,
                () = wake.notified() => Ok(Step::Relist),
                Ok(_) = inactive.wait_for(|active| !*active) => Ok(Step::Deactivated),
                _ = era.wait_for(|era| seen_era.is_some() && *era > seen_era) => Ok(Step::Relist),
            };
            drop(probe.take());
            match step {
                Ok(Step::Read(event, position)) => {
                    let changed = matches!(event, Event::Changed(..));
                    self.last_seen = Some(position.revision);
                    self.read_at = Some(position.at);
                    let _ = self.events.send(event).await;
                    if std::mem::replace(&mut self.trust, Trust::Responding) == Trust::Lost {
                        let _ = self.events.send(Event::Regained).await;
                    }
                    delay = RETRY_DELAY;
                    if changed {
                        tokio::time::sleep(jitter(BATCH_DELAY_LIMIT)).await;
                    }
                }
                Ok(Step::Relist) => self.last_seen = None,
                Ok(Step::Deactivated) => {}
                Err(error) => {
                    if std::mem::replace(&mut self.trust, Trust::Lost) != Trust::Lost {
                        let text = error.current_context().to_string();
                        let _ = self.events.send(Event::Lost(text)).await;
                    }
                    probe = self.objects.wait_for_probe().await;
                    if probe.is_some() {
                        tokio::time::sleep(jitter(delay)).await;
                    }
                    delay = (delay * 2).min(self.objects.retry_delay_limit());
                }
            }
        }
    }

    async fn request(&self) -> Result<Step> {
        let Some(after) = self.last_seen else {
            let at = self.proof.now();
            let (objects, revision) = self.objects.list(self.kind).await?;
            let position = Position { revision, at };
            return Ok(Step::Read(Event::All(objects, position), position));
        };
        if self.trust == Trust::Lost {
            // The cheap call is repeated until the store responds to it.
            self.objects.ping(self.kind, after).await?;
            return self.read_changes(after, Duration::ZERO).await;
        }
        self.read_changes(after, WATCH_DURATION).await
    }

    async fn read_changes(&self, after: Revision, wait: Duration) -> Result<Step> {
        let at = self.proof.now();
        let Some(changes) = self.objects.watch(self.kind, after, wait).await? else {
            return Ok(Step::Relist);
        };
        let revision = changes.revision.max(after);
        let position = Position { revision, at };
        let event = match changes.changes.is_empty() {
            true => Event::Unchanged(position),
            false => Event::Changed(changes.changes, position),
        };
        Ok(Step::Read(event, position))
    }

    /// Asks the store for changes whenever the last proof that there are none is too old, until
    /// there are some.
    async fn check_until_changed(&self) -> Result<Step> {
        let Some(mut after) = self.last_seen else { return std::future::pending().await };
        let mut read_at = self.read_at;
        loop {
            self.wait_until_check(read_at).await;
            match self.read_changes(after, Duration::ZERO).await? {
                Step::Read(Event::Unchanged(position), _) => {
                    // The next check asks from here, as the store forgets old revisions.
                    after = position.revision;
                    read_at = Some(position.at);
                    let _ = self.events.send(Event::Unchanged(position)).await;
                }
                step => return Ok(step),
            }
        }
    }

    /// Waits until the last proof is too old. The last response of the store, to a request at
    /// `read_at`, may not be recorded as one yet.
    async fn wait_until_check(&self, read_at: Option<Duration>) {
        let limit = self.objects.spread_check(self.check_interval);
        while let Some(at) = self.proof.proven_at().max(read_at) {
            let due = at + limit;
            let now = self.proof.now();
            if now >= due {
                return;
            }
            tokio::time::sleep(due - now).await;
        }
    }
}
