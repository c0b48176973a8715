//! Forwards a stream event by event, and resumes it at another upstream if it breaks off.

use crate::Hub;
use crate::call::{self, Attempts};
use crate::caller_request::CallerRequest;
use crate::connection::Connection;
use crate::exchange::{self, Failed, UpstreamResponse};
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::permit::Permit;
use crate::slot_request::Refusal;
use crate::target::Target;
use crate::trial::Trial;
use bytes::Bytes;
use filberttrail_fleet::{Splitter, blame};
use filberttrail_journal::journal::Priority;
use filberttrail_web::body::{ChunkStream, Truncated};
use futures::stream;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Timeout between two events of a stream. It is shorter than the 1.5 s after which a stalled group
/// fails its requests, so that the stream can be resumed before callers give up after 2 s.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Minimum time left at which a stream is resumed at another upstream.
const RESUME_MINIMUM: Duration = Duration::from_millis(300);

/// The upstream response that the events are read from.
pub struct Source {
    permit: Permit,
    /// The trial of the request.
    trial: Option<Trial>,
    body: Incoming,
    connection: Connection,
    /// `None` if the upstream closes the connection after the response, and `Some(None)` if it
    /// announces no idle timeout.
    idle_timeout: Option<Option<Duration>>,
    /// The media type of the response, without parameters.
    media_type: Option<String>,
    /// Whether the response has a length or chunks. The end of one without is the end of its
    /// connection.
    framed: bool,
    /// Number of reads that completed at least one event.
    arrivals: u32,
    /// Time of the first of them.
    first_arrival: Duration,
}

/// A stream that is forwarded to a caller.
pub struct Relay {
    hub: Arc<Hub>,
    caller_request: Arc<CallerRequest>,
    attempts: Attempts,
    splitter: Splitter,
    source: Option<Source>,
    /// The media type of the response that the caller got, without parameters.
    media_type: Option<String>,
    /// The upstream that the last source belongs to.
    target: Target,
    /// Events that were read before the response to the caller started.
    first_events: Option<Bytes>,
    started_at: Duration,
    last_event_at: Duration,
    /// Number of reads that completed at least one event.
    batches: u32,
}

impl Relay {
    /// Waits for the first event of a response. `attempts` are the earlier attempts to send the
    /// request.
    pub async fn start(
        hub: Arc<Hub>,
        caller_request: Arc<CallerRequest>,
        attempts: Attempts,
        source: Source,
    ) -> Result<Self, Failure> {
        let splitter = Splitter::new(caller_request.after_event);
        let started_at = hub.now();
        let target = Target::new(&source.permit);
        let media_type = source.media_type.clone();
        let source = Some(source);
        let mut relay = Self {
            hub,
            caller_request,
            attempts,
            splitter,
            source,
            media_type,
            target,
            first_events: None,
            started_at,
            last_event_at: started_at,
            batches: 0,
        };
        let time_left = relay.caller_request.deadline.saturating_sub(started_at);
        let first = loop {
            let timeout = match relay.caller_request.route.is_repeatable() {
                true => call::FIRST_EVENT_TIMEOUT.min(time_left),
                false => time_left,
            };
            match relay.read_events(timeout).await {
                Err(Failed::Silent)
                    if relay.hub.now() < relay.caller_request.deadline
                        && relay.hub.is_group_stalled(&relay.target.id, timeout) => {}
                Ok(first) => break first,
                Err(failed) => {
                    let trial = relay.source.take().and_then(|source| source.trial);
                    return Err(Failure { failed, trial });
                }
            }
        };
        match first {
            Some(events) => {
                relay.hub.record_outcome(&relay.upstream(), Outcome::Success);
                relay.first_events = Some(events);
            }
            None => relay.finish(),
        }
        Ok(relay)
    }

    /// Returns the id of the current upstream, or an empty string after the end of the stream.
    pub fn upstream(&self) -> String {
        self.source.as_ref().map(|source| source.permit.id.clone()).unwrap_or_default()
    }

    /// Converts the relay into the chunks of a response body.
    pub fn into_chunks(self) -> ChunkStream {
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
        if let Some(events) = self.first_events.take() {
            return Some(Ok(events));
        }
        loop {
            self.source.as_ref()?;
            let time_left = self.caller_request.deadline.saturating_sub(self.hub.now());
            let failed = match self.read_events(EVENT_TIMEOUT.min(time_left)).await {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(failed) => failed,
            };
            if failed != Failed::Silent {
                self.end_trial(&failed).await;
            }
            // A stream that is only slow goes on if it cannot continue elsewhere.
            let stalled = self.source.take().filter(|_| failed == Failed::Silent);
            let stalled = stalled.filter(|_| self.hub.now() < self.caller_request.deadline);
            let id = self.target.id.clone();
            let group_stalled = stalled.is_some() && self.hub.is_group_stalled(&id, EVENT_TIMEOUT);
            if !group_stalled && self.resume(failed.clone(), id, stalled.is_some()).await {
                continue;
            }
            match stalled {
                Some(source) => self.source = Some(source),
                None => {
                    self.give_up(&failed);
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Reads the next complete events. Returns nothing at the end of the stream.
    async fn read_events(&mut self, timeout: Duration) -> Result<Option<Bytes>, Failed> {
        let deadline = self.hub.now() + timeout;
        if self.splitter.has_gap() {
            return Err(Failed::Unusable("events are missing".to_string()));
        }
        loop {
            let Some(source) = &mut self.source else { return Ok(None) };
            let time_left = deadline.saturating_sub(self.hub.now());
            let frame = match tokio::time::timeout(time_left, source.body.frame()).await {
                Err(_) => return Err(Failed::Silent),
                Ok(None) if self.splitter.is_within_event() => {
                    return Err(Failed::Unknown("it ended inside an event".to_string()));
                }
                Ok(None) if !source.framed && source.arrivals == 0 => {
                    // The end of the connection is all that tells the end of such an answer.
                    return Err(Failed::Unknown("it ended before its first event".to_string()));
                }
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(Failed::from_connection(&error)),
                Ok(Some(Ok(frame))) => frame,
            };
            let received_at = self.hub.now();
            let Ok(data) = frame.into_data() else { continue };
            let events = self.splitter.push(&data);
            let events = events.map_err(|fault| Failed::Unusable(format!("{fault:?}")))?;
            if let Some(events) = events {
                self.batches += 1;
                self.last_event_at = received_at;
                source.record_arrival(received_at);
                if source.has_lived(received_at)
                    && let Some(trial) = &mut source.trial
                {
                    trial.note_life();
                }
                self.hub.record_event(&self.target.id);
                self.hub.metrics.record_relay(self.hub.now().saturating_sub(received_at));
                return Ok(Some(events.bytes));
            }
        }
    }

    /// Records the end of a complete stream and returns its connection to the pool.
    fn finish(&mut self) {
        let Some(source) = self.source.take() else { return };
        self.caller_request.open_request.mark_ended();
        self.hub.record_outcome(&source.permit.id, Outcome::Success);
        self.hub.metrics.record_attempt("answered");
        if self.batches > 1 {
            let event_interval = (self.last_event_at - self.started_at) / (self.batches - 1).max(1);
            self.hub.record_event_interval(&source.permit.id, event_interval);
        }
        let Source { permit, connection, idle_timeout, trial, .. } = source;
        if let Some(trial) = trial.filter(|_| source.framed && source.arrivals > 0) {
            trial.pass();
        }
        if let Some(idle_timeout) = idle_timeout {
            self.hub.pool.put_back(permit.address, connection, idle_timeout);
        }
    }

    /// Ends the trial of an answer that broke off. One that had lived is resumed without delay, as others
    /// find out whether its upstream has crashed.
    async fn end_trial(&mut self, failed: &Failed) {
        let source = self.source.as_mut();
        if let Some(trial) = source.and_then(|source| source.trial.take()) {
            if trial.has_lived() {
                trial.break_off(failed);
                return;
            }
            // The slot is free for others while it is found out why.
            self.source = None;
            self.attempts.crashed |= trial.fail(failed).await;
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded. Returns
    /// whether that succeeded. `slow` tells whether the stream can also go on where it is.
    async fn resume(&mut self, failed: Failed, upstream: String, slow: bool) -> bool {
        let mut failed = failed;
        let mut id = upstream;
        let last = self.splitter.last();
        loop {
            call::record_failure(&self.hub, &self.caller_request, &mut self.attempts, &failed, &id);
            let time_left = self.caller_request.deadline.saturating_sub(self.hub.now());
            let possible = last.is_some() && time_left > RESUME_MINIMUM;
            if !possible
                || !call::try_take_retry(&self.hub, &self.caller_request, &self.attempts, &failed)
            {
                return false;
            }
            let started =
                call::acquire_trial(&self.hub, &self.caller_request, &self.attempts).await;
            let (permit, trial) = match started {
                Ok(started) => started,
                Err(refusal) => {
                    self.record_not_resumed(&refusal, slow);
                    return false;
                }
            };
            let target = Target::new(&permit);
            id.clone_from(&permit.id);
            let timeout = call::FIRST_EVENT_TIMEOUT;
            match exchange::send(&self.hub, &permit, &self.caller_request, last, timeout).await {
                Ok(response) if self.can_continue_with(&response) => {
                    self.splitter = Splitter::after(last);
                    self.source = Some(Source::new(permit, trial, response));
                    self.target = target;
                    let fields = json!({
                        "request": self.caller_request.id, "upstream": id, "after_event": last,
                    });
                    self.hub.journal.record(Priority::Important, "resume", fields);
                    return true;
                }
                Ok(response) => {
                    trial.cancel();
                    let UpstreamResponse { head, .. } = response;
                    let media_type = read_media_type(&head.headers);
                    failed = Failed::Unusable(format!("status {}, {media_type:?}", head.status));
                }
                Err(error) => {
                    failed = error;
                    drop(permit);
                    self.attempts.crashed |= trial.fail(&failed).await;
                }
            }
        }
    }

    /// Returns whether a response may hold further events of the stream: one of another type is no part
    /// of it, whatever its text looks like.
    fn can_continue_with(&self, response: &UpstreamResponse) -> bool {
        let UpstreamResponse { head, .. } = response;
        head.status == StatusCode::OK && read_media_type(&head.headers) == self.media_type
    }

    /// Logs that a stream was not resumed, and whether it goes on where it is.
    fn record_not_resumed(&self, refusal: &Refusal, slow: bool) {
        let fields = json!({
            "request": self.caller_request.id, "cause": refusal.cause, "goes_on": slow,
        });
        self.hub.journal.record(Priority::Important, "not_resumed", fields);
    }

    fn give_up(&self, failed: &Failed) {
        self.caller_request.open_request.mark_ended();
        self.hub
            .metrics
            .record_response("broken off", self.hub.now() - self.caller_request.arrived);
        let fields = json!({
            "request": self.caller_request.id, "fault": format!("{failed:?}"),
            "sent": self.attempts.failed_sent, "after_event": self.splitter.last(),
            "upstream": self.target.id, "parts": self.caller_request.shared_parts,
        });
        self.hub.journal.record(Priority::Important, "broken_off", fields);
    }
}

impl Source {
    /// Wraps the response of the upstream of a permit.
    pub fn new(permit: Permit, trial: Trial, response: UpstreamResponse) -> Self {
        let headers = &response.head.headers;
        let framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        Self {
            permit,
            trial: Some(trial),
            idle_timeout: exchange::parse_idle_timeout(headers),
            media_type: read_media_type(headers),
            body: response.body,
            connection: response.connection,
            framed,
            arrivals: 0,
            first_arrival: Duration::ZERO,
        }
    }

    fn record_arrival(&mut self, at: Duration) {
        if self.arrivals == 0 {
            self.first_arrival = at;
        }
        self.arrivals += 1;
    }

    fn has_lived(&self, now: Duration) -> bool {
        blame::has_lived(self.arrivals, now.saturating_sub(self.first_arrival))
    }
}

fn read_media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(text.split(';').next().unwrap_or_default().trim().to_ascii_lowercase())
}
