//! Follows all objects of one kind in a store of objects: a list first, then what changes.
//!
//! Revisions only go forward. A history that the store has discarded leads to a new list.

use crate::follow::jitter;
use bytes::Bytes;
use filberttrail_kernel::{Error, Result};
use filberttrail_web::Client;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// The number of a change of the store.
pub type Revision = u64;

/// How long a call may take; the store answers in milliseconds, slow ones in some hundred.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long one watch waits. A silenced connection shows sooner: keep-alive probes end it, and entries tell
/// each other how far they have followed.
const WATCH_WAIT: Duration = Duration::from_millis(25_000);
/// The pause after changes, so that those which follow at once come in one call. Changes have to be
/// in force within some seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(300);
/// The pause after a failed call, doubled at each failure up to the longest.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause; a store that is back is to be noticed within its second.
const PAUSE_LIMIT: Duration = Duration::from_millis(800);
/// Bytes of an answer at most.
const ANSWER_LIMIT: usize = 8 << 20;
/// Changes that may wait to be taken in.
const CHANGE_ROOM: usize = 64;

/// How the store spells its calls and answers.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// The path that lists a kind after a name.
    pub list: fn(kind: &str, after: Option<&str>) -> String,
    /// The path that waits for changes of a kind.
    pub watch: fn(kind: &str, after: Revision, wait: Duration) -> String,
    /// The path of one object.
    pub object: fn(kind: &str, name: &str) -> String,
    /// Reads one page of a list.
    pub read_page: fn(&[u8]) -> Option<Page>,
    /// Reads changes.
    pub read_changes: fn(&[u8]) -> Option<Changes>,
    /// Reads one object.
    pub read_object: fn(&[u8]) -> Option<Object>,
    /// Writes an object for a call that creates or replaces it, under a condition if one is given.
    pub write_object: fn(name: &str, value: &serde_json::Value, held: Option<Revision>) -> Vec<u8>,
}

/// An object.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its value.
    pub value: serde_json::Value,
}

/// A page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether more follow.
    pub more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The object, as it is or as it was.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// Changes since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub revision: Revision,
}

/// What a feed tells.
#[derive(Debug)]
pub enum Event {
    /// All objects of the kind.
    All(Vec<Object>, Revision),
    /// Some changed.
    Changed(Vec<Change>, Revision),
    /// The store does not answer, or not as it should.
    Lost(String),
    /// It answers again.
    Regained,
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// It took effect.
    Done(Object),
    /// The object was there already, or has changed since; nothing was done.
    Conflict(Option<Object>),
}

/// A store of objects.
pub struct Objects {
    address: SocketAddr,
    dialect: Dialect,
    client: Client,
}

impl Objects {
    /// Makes a client of the store at an address.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Arc<Self> {
        Arc::new(Self { address, dialect, client: Client::new() })
    }

    /// Lists all objects of a kind.
    pub async fn list(&self, kind: &str) -> Result<(Vec<Object>, Revision)> {
        let mut objects: Vec<Object> = Vec::new();
        let mut revision = None;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let path = (self.dialect.list)(kind, after.as_deref());
            let answer = self.call(Method::GET, &path, Vec::new(), CALL_TIMEOUT).await?;
            expect_ok(kind, &answer)?;
            let page = (self.dialect.read_page)(answer.body()).ok_or_else(|| unreadable(kind))?;
            // Changes between two pages are told again from the first page's revision on.
            revision.get_or_insert(page.revision);
            let ended = !page.more || page.objects.is_empty();
            objects.extend(page.objects);
            if ended {
                return Ok((objects, revision.unwrap_or_default()));
            }
        }
    }

    /// Reads an object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = (self.dialect.object)(kind, name);
        let answer = self.call(Method::GET, &path, Vec::new(), CALL_TIMEOUT).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_ok(kind, &answer)?;
        (self.dialect.read_object)(answer.body()).map(Some).ok_or_else(|| unreadable(kind))
    }

    /// Creates an object, or replaces the one whose revision is given.
    ///
    /// An error means that the write may have taken effect, or may do so later.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &serde_json::Value,
        held: Option<Revision>,
    ) -> Result<Written> {
        let method = if held.is_some() { Method::PUT } else { Method::POST };
        let path = match held {
            Some(_) => (self.dialect.object)(kind, name),
            None => (self.dialect.list)(kind, None),
        };
        let body = (self.dialect.write_object)(name, value, held);
        let answer = self.call(method, &path, body, CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => {
                Ok(Written::Conflict((self.dialect.read_object)(answer.body())))
            }
            _ => {
                expect_ok(kind, &answer)?;
                let object = (self.dialect.read_object)(answer.body());
                object.map(Written::Done).ok_or_else(|| unreadable(kind))
            }
        }
    }

    /// Removes an object.
    pub async fn delete(&self, kind: &str, name: &str) -> Result<()> {
        let path = (self.dialect.object)(kind, name);
        let answer = self.call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(());
        }
        expect_ok(kind, &answer)
    }

    /// Follows a kind until the receiver is dropped. `wake` cuts a waiting watch short, for those
    /// who have heard elsewhere of a newer revision.
    pub fn follow(
        self: &Arc<Self>,
        kind: &'static str,
        wake: Arc<Notify>,
    ) -> mpsc::Receiver<Event> {
        let (sender, receiver) = mpsc::channel(CHANGE_ROOM);
        let objects = self.clone();
        tokio::spawn(async move { objects.run_follow(kind, &wake, &sender).await });
        receiver
    }

    async fn run_follow(&self, kind: &str, wake: &Notify, events: &mpsc::Sender<Event>) {
        let mut at: Option<Revision> = None;
        let mut pause = PAUSE;
        let mut lost = false;
        while !events.is_closed() {
            let step = tokio::select! {
                step = self.step(kind, &mut at, lost, events) => step,
                () = wake.notified() => {
                    at = None;
                    continue;
                }
            };
            match step {
                Ok(()) => {
                    if std::mem::take(&mut lost) {
                        let _ = events.send(Event::Regained).await;
                    }
                    pause = PAUSE;
                }
                Err(fault) => {
                    if !std::mem::replace(&mut lost, true) {
                        let text = fault.current_context().to_string();
                        let _ = events.send(Event::Lost(text)).await;
                    }
                    tokio::time::sleep(jitter(pause)).await;
                    pause = (pause * 2).min(PAUSE_LIMIT);
                }
            }
        }
    }

    async fn step(
        &self,
        kind: &str,
        at: &mut Option<Revision>,
        lost: bool,
        events: &mpsc::Sender<Event>,
    ) -> Result<()> {
        let Some(after) = *at else {
            let (objects, revision) = self.list(kind).await?;
            let _ = events.send(Event::All(objects, revision)).await;
            *at = Some(revision);
            return Ok(());
        };
        // A store that was away is asked without waiting, so that its return shows at once.
        let wait = if lost { Duration::ZERO } else { WATCH_WAIT };
        let path = (self.dialect.watch)(kind, after, wait);
        let answer = self.call(Method::GET, &path, Vec::new(), wait + CALL_TIMEOUT).await?;
        if answer.status() == StatusCode::GONE {
            *at = None;
            return Ok(());
        }
        expect_ok(kind, &answer)?;
        let Changes { changes, revision } =
            (self.dialect.read_changes)(answer.body()).ok_or_else(|| unreadable(kind))?;
        *at = Some(revision.max(after));
        if !changes.is_empty() {
            let _ = events.send(Event::Changed(changes, revision)).await;
            tokio::time::sleep(BATCH_PAUSE).await;
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<hyper::Response<Bytes>> {
        let help = "check the store's address and health";
        let answer = self.client.call(self.address, method, path, body, patience, ANSWER_LIMIT);
        answer.await.map_err(|fault| Error::platform(path, fault, help).into())
    }
}

fn expect_ok(kind: &str, answer: &hyper::Response<Bytes>) -> Result<()> {
    if answer.status().is_success() {
        return Ok(());
    }
    let help = "come back later, and check the store's health";
    Err(Error::platform(kind, format!("status {}", answer.status()), help).into())
}

fn unreadable(kind: &str) -> error_stack::Report<Error> {
    Error::platform(kind, "the answer cannot be read", "check that the address is the store's")
        .into()
}
