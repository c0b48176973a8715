//! Passes a stream on event by event, and goes on at another upstream where it breaks off.

use crate::Hub;
use crate::ask::Ask;
use crate::call::{self, Tries};
use crate::connection::Connection;
use crate::exchange::{self, Answered, Failed};
use crate::outcome::Outcome;
use crate::permit::Permit;
use bytes::Bytes;
use filberttrail_fleet::Splitter;
use filberttrail_journal::journal::Priority;
use filberttrail_web::body::{ChunkStream, Truncated};
use futures::stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// How long a stream may pause. A group's stall ends its work after 1.5 s; callers leave after 2 s.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// What is left for the rest of a stream, so that going on elsewhere is worth it.
const RESUME_MINIMUM: Duration = Duration::from_millis(300);

/// The part of a stream that comes from one upstream.
struct Source {
    permit: Permit,
    body: Incoming,
    connection: Connection,
    keep: Option<Option<Duration>>,
}

/// A stream on its way to a caller.
pub struct Relay {
    hub: Arc<Hub>,
    ask: Arc<Ask>,
    tries: Tries,
    splitter: Splitter,
    source: Option<Source>,
    first: Option<Bytes>,
    began: Duration,
    last: Duration,
    events: u32,
}

impl Relay {
    /// Waits for the first event of an answer; `tries` is what came before it.
    pub async fn start(
        hub: Arc<Hub>,
        ask: Arc<Ask>,
        tries: Tries,
        permit: Permit,
        answered: Answered,
    ) -> Result<Self, Failed> {
        let splitter = Splitter::new(ask.after_event);
        let began = hub.now();
        let source = Some(Source::new(permit, answered));
        let mut relay =
            Self { hub, ask, tries, splitter, source, first: None, began, last: began, events: 0 };
        match relay.read(call::FIRST_EVENT_TIMEOUT).await? {
            Some(events) => {
                relay.hub.note_outcome(&relay.upstream(), Outcome::Success);
                relay.first = Some(events);
            }
            None => relay.end(),
        }
        Ok(relay)
    }

    /// Returns the upstream that it comes from now.
    pub fn upstream(&self) -> String {
        self.source.as_ref().map(|source| source.permit.id.clone()).unwrap_or_default()
    }

    /// Turns it into the pieces of a body.
    pub fn into_pieces(self) -> ChunkStream {
        Box::pin(stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some(relay))),
                Some(Err(broken)) => Some((Err(broken), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            self.source.as_ref()?;
            let left = self.ask.deadline.saturating_sub(self.hub.now());
            let failed = match self.read(EVENT_TIMEOUT.min(left)).await {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) => {
                    self.end();
                    return None;
                }
                Err(failed) => failed,
            };
            if !self.resume(failed).await {
                return Some(Err(Truncated));
            }
        }
    }

    /// Reads the next whole events; none at the end of the stream.
    async fn read(&mut self, patience: Duration) -> Result<Option<Bytes>, Failed> {
        let deadline = self.hub.now() + patience;
        loop {
            let Some(source) = &mut self.source else { return Ok(None) };
            let left = deadline.saturating_sub(self.hub.now());
            let frame = match tokio::time::timeout(left, source.body.frame()).await {
                Err(_) => return Err(Failed::Silent),
                Ok(None) if self.splitter.is_within_event() => {
                    return Err(Failed::Unknown("it ended inside an event".to_string()));
                }
                Ok(None) => return Ok(None),
                Ok(Some(Err(fault))) => return Err(Failed::Unknown(fault.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            let came = self.hub.now();
            let Ok(data) = frame.into_data() else { continue };
            let events = self.splitter.push(&data);
            let events = events.map_err(|_| Failed::Unknown("events are missing".to_string()))?;
            if let Some(events) = events {
                self.events += 1;
                self.last = came;
                self.hub.metrics.note_relay(self.hub.now().saturating_sub(came));
                return Ok(Some(events.bytes));
            }
        }
    }

    /// Notes the end of a whole stream, and keeps its connection.
    fn end(&mut self) {
        let Some(source) = self.source.take() else { return };
        self.ask.open.end();
        self.hub.note_outcome(&source.permit.id, Outcome::Success);
        self.hub.metrics.note_attempt("answered");
        if self.events > 1 {
            let gap = (self.last - self.began) / (self.events - 1).max(1);
            self.hub.note_gap(&source.permit.id, gap);
        }
        let Source { permit, connection, keep, .. } = source;
        if let Some(keep) = keep {
            self.hub.pool.give(permit.address, connection, keep);
        }
    }

    /// Goes on at another upstream after the last event that was passed on.
    async fn resume(&mut self, failed: Failed) -> bool {
        let mut failed = failed;
        let mut id = self.upstream();
        self.source = None;
        let last = self.splitter.last();
        loop {
            call::note_failure(&self.hub, &self.ask, &mut self.tries, &failed, &id);
            let left = self.ask.deadline.saturating_sub(self.hub.now());
            let possible = last.is_some() && left > RESUME_MINIMUM;
            if !possible || !call::may_retry(&self.hub, &self.ask, &self.tries, &failed) {
                self.give_up(&failed);
                return false;
            }
            let permit = match call::acquire(&self.hub, &self.ask, &self.tries).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.give_up(&Failed::Unsent(refusal.cause.to_string()));
                    return false;
                }
            };
            id.clone_from(&permit.id);
            let patience = call::FIRST_EVENT_TIMEOUT;
            match exchange::send(&self.hub, &permit, &self.ask, last, patience).await {
                Ok(answered) if answered.head.status.is_success() => {
                    self.splitter = Splitter::new(last);
                    self.source = Some(Source::new(permit, answered));
                    let fields = json!({
                        "request": self.ask.id, "upstream": id, "after_event": last,
                    });
                    self.hub.journal.record(Priority::Important, "resume", fields);
                    return true;
                }
                Ok(answered) => {
                    failed = Failed::Unknown(format!("status {}", answered.head.status));
                }
                Err(fault) => failed = fault,
            }
        }
    }

    fn give_up(&self, failed: &Failed) {
        self.ask.open.end();
        self.hub.metrics.note_answer("broken off", self.hub.now() - self.ask.arrived);
        let fields = json!({
            "request": self.ask.id, "fault": format!("{failed:?}"), "sent": self.tries.sent,
            "after_event": self.splitter.last(),
        });
        self.hub.journal.record(Priority::Important, "broken_off", fields);
    }
}

impl Source {
    fn new(permit: Permit, answered: Answered) -> Self {
        let keep = exchange::keep_time(&answered.head.headers);
        Self { permit, body: answered.body, connection: answered.connection, keep }
    }
}
