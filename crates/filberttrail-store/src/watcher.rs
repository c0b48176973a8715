//! Follows the objects of a kind: lists them, and then watches for changes.
//!
//! The silence of a pending watch proves nothing. A watch that reached the store during an outage is
//! never answered, although its connection stays open and the store is back. So while a watch waits,
//! cheap calls check at intervals whether the store responds and knows of changes.

use crate::feed::{Event, Objects, Revision};
use crate::follow::jitter;
use crate::revision;
use filberttrail_kernel::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// The duration of one watch request.
const WATCH_DURATION: Duration = Duration::from_millis(25_000);
/// The time after which a watch is checked for the first time. An outage that swallows the watch
/// without being noticed has to be shorter.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(300);
/// The delay after a response with changes, so that further changes arrive in one batch. It must
/// stay well below the few seconds within which changes have to come into force.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// The initial delay before a retry, doubled after each failure up to [`RETRY_DELAY_LIMIT`].
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay before a retry: a recovered store has to be detected within 1 s.
const RETRY_DELAY_LIMIT: Duration = Duration::from_millis(500);

/// What is known about the store's responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// A watch waits for changes.
    Watching,
    /// There are changes that the watch did not report, so the next request does not wait.
    Missed,
    /// The last request failed.
    Lost,
}

/// The result of one request.
enum Step {
    /// Changes or a list, and the revision from which to watch next.
    Read(Event, Revision),
    /// The store knows of changes after this revision that the pending watch has not reported.
    Missed(Revision),
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
    events: mpsc::Sender<Event>,
    last_seen: Option<Revision>,
    trust: Trust,
}

impl Watcher {
    /// Creates a watcher that has not listed the objects yet.
    pub(crate) fn new(
        objects: Arc<Objects>,
        kind: &'static str,
        check_interval: Duration,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let (last_seen, trust) = (None, Trust::Watching);
        Self { objects, kind, check_interval, events, last_seen, trust }
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
            // Closing the channel leaves the last value in force.
            let _ = active.wait_for(|active| *active).await;
            let mut inactive = active.clone();
            let waits = self.trust == Trust::Watching && self.last_seen.is_some();
            let step = tokio::select! {
                step = self.request() => step,
                step = self.check_until_missed(), if waits => step,
                () = wake.notified() => Ok(Step::Relist),
                Ok(_) = inactive.wait_for(|active| !*active) => Ok(Step::Deactivated),
                _ = era.wait_for(|era| seen_era.is_some() && *era > seen_era) => Ok(Step::Relist),
            };
            drop(probe.take());
            match step {
                Ok(Step::Read(event, revision)) => {
                    let changed = matches!(event, Event::Changed(..));
                    self.last_seen = Some(revision);
                    let _ = self.events.send(event).await;
                    if std::mem::replace(&mut self.trust, Trust::Watching) == Trust::Lost {
                        let _ = self.events.send(Event::Regained).await;
                    }
                    delay = RETRY_DELAY;
                    if changed {
                        tokio::time::sleep(BATCH_DELAY).await;
                    }
                }
                Ok(Step::Missed(after)) => {
                    self.last_seen = Some(after);
                    self.trust = Trust::Missed;
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
                    delay = (delay * 2).min(RETRY_DELAY_LIMIT);
                }
            }
        }
    }

    async fn request(&self) -> Result<Step> {
        let Some(after) = self.last_seen else {
            let (objects, revision) = self.objects.list(self.kind).await?;
            return Ok(Step::Read(Event::All(objects, revision), revision));
        };
        let wait = match self.trust {
            Trust::Watching => WATCH_DURATION,
            Trust::Missed => Duration::ZERO,
            Trust::Lost => {
                // The cheap call is repeated until the store responds to it.
                self.objects.check(self.kind, after).await?;
                Duration::ZERO
            }
        };
        let Some(changes) = self.objects.watch(self.kind, after, wait).await? else {
            return Ok(Step::Relist);
        };
        let revision = changes.revision.max(after);
        let event = match changes.changes.is_empty() {
            true => Event::Unchanged(revision),
            false => Event::Changed(changes.changes, revision),
        };
        Ok(Step::Read(event, revision))
    }

    /// Checks at intervals whether the store responds, until it knows of changes.
    async fn check_until_missed(&self) -> Result<Step> {
        let Some(mut after) = self.last_seen else { return std::future::pending().await };
        let mut delay = FIRST_CHECK_DELAY;
        loop {
            tokio::time::sleep(delay).await;
            match self.objects.check(self.kind, after).await? {
                // The next check asks from here, as the store forgets old revisions.
                Some(unchanged_until) => after = unchanged_until,
                None => return Ok(Step::Missed(after)),
            }
            let _ = self.events.send(Event::Checked).await;
            delay = self.objects.share_checks(self.check_interval);
        }
    }
}
