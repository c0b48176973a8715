//! A client of an object store that lists all objects of a kind and then watches for changes.
//!
//! Revisions never decrease. If the store has discarded the history since the last revision seen, or
//! was restored from a copy, the objects are listed again.

pub use crate::dialect::Dialect;
use crate::proof::Proof;
use crate::revision;
use crate::watcher::Watcher;
use bytes::Bytes;
use filberttrail_kernel::{Error, Result};
use filberttrail_web::Client;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Notify, OwnedMutexGuard, mpsc, watch};

/// The sequence number of a change in the store, with the store's era (see [`revision`]).
pub type Revision = u64;

/// The timeout of a call. The store responds within milliseconds; a slow one takes a few hundred.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The range of the random delay of a check, relative to its interval. In the shortest range, 0.5 s, a
/// proof reaches the other processes several times.
const CHECK_SPREAD: f64 = 1.0;
/// The maximum delay before a retry, unless another is set: a recovered store has to be detected
/// within 1 s.
const RETRY_DELAY_LIMIT_MS: u64 = 500;
/// The delay before objects are listed because changes could not be decoded.
const RELIST_DELAY: Duration = Duration::from_millis(200);
/// The maximum size of a response body, in bytes.
const RESPONSE_LIMIT: usize = 8 << 20;
/// The maximum size of all pages of a list, in bytes, unless another is set: eight of the largest pages.
const LIST_LIMIT: usize = 8 * RESPONSE_LIMIT;
/// The maximum number of events that wait for the receiver.
const EVENT_CAPACITY: usize = 64;

/// A stored object.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value, in JSON.
    pub value: serde_json::Value,
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Number of objects that were left out, because they have no readable name.
    pub skipped: usize,
    /// Whether more pages follow.
    pub more: bool,
    /// The store's revision when it built the page.
    pub revision: Revision,
}

/// The creation, replacement or removal of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: Object,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The changes since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Number of changes that were left out, because their object has no readable name.
    pub skipped: usize,
    /// The revision from which to watch next.
    pub revision: Revision,
}

/// How far a response of the store brings the knowledge of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The revision up to which all changes are known.
    pub revision: Revision,
    /// The time at which there were no later changes: that of the request.
    pub at: Duration,
}

/// An event of a watched kind.
#[derive(Debug)]
pub enum Event {
    /// All objects of the kind, which replace those received before.
    All(Vec<Object>, Position),
    /// Changes, oldest first.
    Changed(Vec<Change>, Position),
    /// The store responded that nothing has changed.
    Unchanged(Position),
    /// The store failed to respond, or its response was invalid; the text describes the failure.
    Lost(String),
    /// The store responds again.
    Regained,
    /// The store failed to respond last, and is not asked any more.
    Unwatched,
}

/// The result of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// The write took effect; this is the stored object.
    Done(Object),
    /// The object already existed, was removed or has another revision; nothing was written.
    ///
    /// Contains the current object if the store returned it.
    Conflict(Option<Object>),
}

/// A client of an object store.
pub struct Objects {
    address: SocketAddr,
    dialect: Dialect,
    client: Client,
    /// The highest era of a response so far.
    era: watch::Sender<Option<u64>>,
    /// The number of processes that check their watches and report changes to each other.
    checkers: AtomicU32,
    /// The maximum delay before a retry, in milliseconds.
    retry_delay_limit_ms: AtomicU64,
    /// The maximum size of all pages of a list, in bytes.
    list_limit: AtomicUsize,
    /// Held by the one that probes the store while it is unavailable.
    probe: Arc<Mutex<()>>,
    /// Notifies of successful calls.
    succeeded: watch::Sender<()>,
    /// Whether objects without a readable name were left out and logged.
    has_skipped: AtomicBool,
}

/// A response and the era of the store that sent it.
struct Response {
    status: StatusCode,
    body: Bytes,
    era: u64,
}

impl Response {
    fn joined(&self, object: Object) -> Object {
        Object { revision: revision::join(self.era, object.revision), ..object }
    }
}

impl Objects {
    /// Creates a client of the store at an address.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Arc<Self> {
        let (era, _) = watch::channel(None);
        let checkers = AtomicU32::new(1);
        let (succeeded, _) = watch::channel(());
        let client = Client::new();
        let retry_delay_limit_ms = AtomicU64::new(RETRY_DELAY_LIMIT_MS);
        let probe = Arc::default();
        Arc::new(Self {
            address,
            dialect,
            client,
            era,
            checkers,
            retry_delay_limit_ms,
            list_limit: AtomicUsize::new(LIST_LIMIT),
            probe,
            succeeded,
            has_skipped: AtomicBool::new(false),
        })
    }

    /// Returns the store's era as of the last response; `None` before the first one. The era rises
    /// when the store is restored from a copy and has lost the latest writes.
    pub fn era(&self) -> Option<u64> {
        *self.era.borrow()
    }

    /// Lists all objects of a kind, page by page; returns them with the first page's revision.
    pub async fn list(&self, kind: &str) -> Result<(Vec<Object>, Revision)> {
        let mut objects: Vec<Object> = Vec::new();
        let mut revision = None;
        let mut bytes = 0;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let path = (self.dialect.list)(kind, after.as_deref());
            let response = self.call(Method::GET, &path, Vec::new(), CALL_TIMEOUT).await?;
            expect_ok(kind, &response)?;
            bytes += response.body.len();
            if bytes > self.list_limit.load(Ordering::Relaxed) {
                let help = "check the store's health, or give the process more memory";
                return Err(Error::platform(kind, "the list is too long", help).into());
            }
            let page = (self.dialect.read_page)(&response.body).ok_or_else(|| malformed(kind))?;
            // Watching from the first page's revision repeats changes made between two pages.
            let first = *revision.get_or_insert(revision::join(response.era, page.revision));
            if revision::era(first) != response.era {
                let help = "none needed, the list is read again";
                return Err(Error::platform(kind, "restored between two pages", help).into());
            }
            self.note_skipped(kind, page.skipped);
            let is_last = !page.more;
            let last = page.objects.last().map(|object| &object.name);
            if !is_last && (last.is_none() || last == after.as_ref()) {
                let help = "remove the objects of this kind without a readable name";
                return Err(Error::platform(kind, "no name to read on from", help).into());
            }
            objects.extend(page.objects.into_iter().map(|object| response.joined(object)));
            if is_last {
                self.succeeded.send_replace(());
                return Ok((objects, revision.unwrap_or_default()));
            }
        }
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = (self.dialect.object)(kind, name);
        let response = self.call(Method::GET, &path, Vec::new(), CALL_TIMEOUT).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_ok(kind, &response)?;
        let object = (self.dialect.read_object)(&response.body).ok_or_else(|| malformed(kind))?;
        Ok(Some(response.joined(object)))
    }

    /// Creates an object, or replaces it if its revision is still `expected`.
    ///
    /// A revision of an earlier era counts as a conflict. After an error, the write may have taken
    /// effect or may still take effect later.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &serde_json::Value,
        expected: Option<Revision>,
    ) -> Result<Written> {
        if expected.is_some_and(|expected| Some(revision::era(expected)) < self.era()) {
            return Ok(Written::Conflict(None));
        }
        let method = if expected.is_some() { Method::PUT } else { Method::POST };
        let path = match expected {
            Some(_) => (self.dialect.object)(kind, name),
            None => (self.dialect.list)(kind, None),
        };
        let body = (self.dialect.write_object)(name, value, expected.map(revision::number));
        let response = self.call(method, &path, body, CALL_TIMEOUT).await?;
        let object = (self.dialect.read_object)(&response.body);
        let object = object.map(|object| response.joined(object));
        // The number of the expected revision may have been given out again in the new era.
        if expected.is_some_and(|expected| revision::era(expected) < response.era) {
            return Ok(Written::Conflict(object));
        }
        match response.status {
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(Written::Conflict(object)),
            _ => {
                expect_ok(kind, &response)?;
                object.map(Written::Done).ok_or_else(|| malformed(kind))
            }
        }
    }

    /// Removes an object; succeeds if it does not exist.
    pub async fn delete(&self, kind: &str, name: &str) -> Result<()> {
        let path = (self.dialect.object)(kind, name);
        let response = self.call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        expect_ok(kind, &response)
    }

    /// Removes an object if its revision is still `expected`. Returns whether it was.
    ///
    /// A revision of an earlier era counts as another one. After an error, the object may have been
    /// removed or may still be.
    pub async fn delete_at(&self, kind: &str, name: &str, expected: Revision) -> Result<bool> {
        if Some(revision::era(expected)) < self.era() {
            return Ok(false);
        }
        let path = (self.dialect.object_at)(kind, name, revision::number(expected));
        let response = self.call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT).await?;
        match response.status {
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(false),
            _ => expect_ok(kind, &response).map(|()| true),
        }
    }

    /// Lists a kind and then watches it until the receiver is dropped.
    ///
    /// A pending watch is checked once nothing has proven for `check_interval` that there are no
    /// changes. The receiver of the events has to record their positions in `proof`, and may record
    /// proofs that it gets from other processes (see [`Self::set_checkers`]).
    ///
    /// `wake` interrupts a pending watch and lists the objects again; it is for callers that have
    /// learned of a newer revision from another process. While `active` is false, nothing is
    /// requested from the store.
    pub fn follow(
        self: &Arc<Self>,
        kind: &'static str,
        check_interval: Duration,
        proof: Arc<Proof>,
        wake: Arc<Notify>,
        active: watch::Receiver<bool>,
    ) -> mpsc::Receiver<Event> {
        let (sender, receiver) = mpsc::channel(EVENT_CAPACITY);
        let watcher = Watcher::new(self.clone(), kind, check_interval, proof, sender);
        tokio::spawn(async move { watcher.run(&wake, active).await });
        receiver
    }

    /// Returns the changes of a kind since a revision, as soon as there are some, or none after
    /// `wait`. `None` if they are no longer known: the objects have to be listed again.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Changes>> {
        let path = (self.dialect.watch)(kind, revision::number(after), wait);
        self.read_changes(kind, after, &path, wait + CALL_TIMEOUT).await
    }

    /// Returns whether the store responds to a call that costs less than [`Self::watch`], but may
    /// miss the changes of the last seconds.
    pub(crate) async fn ping(&self, kind: &str, after: Revision) -> Result<()> {
        let path = (self.dialect.stale_changes)(kind, revision::number(after));
        self.read_changes(kind, after, &path, CALL_TIMEOUT).await.map(drop)
    }

    async fn read_changes(
        &self,
        kind: &str,
        after: Revision,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<Changes>> {
        let response = self.call(Method::GET, path, Vec::new(), timeout).await?;
        if response.status == StatusCode::GONE || response.era > revision::era(after) {
            return Ok(None);
        }
        expect_ok(kind, &response)?;
        let Some(changes) = (self.dialect.read_changes)(&response.body) else {
            // The same change would be in each further response, and may be in no list any more.
            log::warn!("{kind}: the changes cannot be decoded; the objects are listed again");
            tokio::time::sleep(RELIST_DELAY).await;
            return Ok(None);
        };
        let Changes { changes, skipped, revision } = changes;
        self.note_skipped(kind, skipped);
        self.succeeded.send_replace(());
        let joined = |change: Change| Change { object: response.joined(change.object), ..change };
        let changes = changes.into_iter().map(joined).collect();
        Ok(Some(Changes { changes, skipped, revision: revision::join(response.era, revision) }))
    }

    /// Logs objects that were left out, once.
    fn note_skipped(&self, kind: &str, skipped: usize) {
        if skipped > 0 && !self.has_skipped.swap(true, Ordering::Relaxed) {
            log::warn!(
                "{kind}: {skipped} objects without a readable name are left out, and later ones; \
                 remove them from the store"
            );
        }
    }

    /// Sets the number of processes, this one included, that check their watches and report proofs
    /// to each other.
    pub fn set_checkers(&self, checkers: u32) {
        self.checkers.store(checkers, Ordering::Relaxed);
    }

    /// Sets the maximum delay before a failed request is repeated.
    pub fn set_retry_delay_limit(&self, limit: Duration) {
        let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.retry_delay_limit_ms.store(limit_ms, Ordering::Relaxed);
    }

    /// Sets the maximum size of all pages of a list, in bytes. A longer list counts as a failure of the
    /// store.
    pub fn set_list_limit(&self, limit: usize) {
        self.list_limit.store(limit, Ordering::Relaxed);
    }

    pub(crate) fn retry_delay_limit(&self) -> Duration {
        Duration::from_millis(self.retry_delay_limit_ms.load(Ordering::Relaxed))
    }

    /// Returns the age of a proof from which this process checks, of which `interval` is the
    /// shortest. It is random, so that one process checks before the others and spares them theirs:
    /// the more there are, the more of them draw a long delay.
    pub(crate) fn spread_check(&self, interval: Duration) -> Duration {
        let checkers = f64::from(self.checkers.load(Ordering::Relaxed).max(1));
        let draw = 1.0 + fastrand::f64().max(f64::MIN_POSITIVE).ln() / (checkers.ln() + 1.0);
        interval.mul_f64(1.0 + CHECK_SPREAD * draw.max(0.0))
    }

    /// Waits for the turn to probe the store, which is unavailable. Returns nothing if a call has
    /// succeeded meanwhile.
    pub(crate) async fn wait_for_probe(&self) -> Option<OwnedMutexGuard<()>> {
        let mut succeeded = self.succeeded.subscribe();
        tokio::select! {
            turn = self.probe.clone().lock_owned() => Some(turn),
            _ = succeeded.changed() => None,
        }
    }

    /// Receives the store's era whenever it rises.
    pub(crate) fn subscribe_era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Sends a request. Fails if the response is from an era that has ended: the store was
    /// restored while the response was under way.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response> {
        let help = "check the store's address and health";
        let response = self.client.call(self.address, method, path, body, timeout, RESPONSE_LIMIT);
        let response = response.await.map_err(|error| Error::platform(path, error, help))?;
        let known = self.era().unwrap_or_default();
        let header = response.headers().get(self.dialect.era_header);
        let era = header.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
        let era = match era.filter(|era| *era <= revision::ERA_LIMIT) {
            Some(era) => era,
            None => {
                if header.is_some() {
                    log::warn!(
                        "{path}: the store's era {header:?} is not a number; keeping {known}"
                    );
                }
                known
            }
        };
        if era < known {
            let problem = format!("the response is of era {era}, which era {known} has replaced");
            return Err(Error::platform(path, problem, "none needed, the call is repeated").into());
        }
        if Some(era) > self.era() {
            self.era.send_replace(Some(era));
        }
        Ok(Response { status: response.status(), body: response.into_body(), era })
    }
}

fn expect_ok(kind: &str, response: &Response) -> Result<()> {
    if response.status.is_success() {
        return Ok(());
    }
    let help = "retry later, and check the store's health";
    Err(Error::platform(kind, format!("status {}", response.status), help).into())
}

fn malformed(kind: &str) -> error_stack::Report<Error> {
    Error::platform(kind, "the response cannot be decoded", "check that the address is the store's")
        .into()
}
