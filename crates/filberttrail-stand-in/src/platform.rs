//! The stand-in platform: an object store with versions, conditional writes, watches, rate limits
//! and injected faults.

use bytes::Bytes;
use filberttrail_web::server::json;
use filberttrail_web::{Body, Request, Response};
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// Largest value of an object, in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Longest time that a watch may wait.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Injected faults, set by `PUT /control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every request with 503.
    pub outage: bool,
    /// Delay of each request, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect, but whose response is withheld for 30 s.
    pub lose_answers: u32,
    /// Holds watches open past their own timeout without reporting changes.
    pub silent_watches: bool,
    /// Reads return the value before the last write.
    pub stale_reads: bool,
}

/// Counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Number of reads, lists and watches, including those above the rate limit.
    pub reads: u64,
    /// Number of writes, including those above the rate limit.
    pub writes: u64,
    /// Number of watches among the reads.
    pub watches: u64,
    /// Number of requests that were refused because of the rate limits.
    pub limited: u64,
    /// Largest number of reads in one second.
    pub peak_reads: u64,
    /// Largest number of writes in one second.
    pub peak_writes: u64,
    /// Bytes of the values that were read and written.
    pub bytes: u64,
}

/// Rate limits, in requests per second. Requests above them get 429.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Limit of reads, lists and watches together.
    pub reads: u64,
    /// Limit of writes.
    pub writes: u64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { reads: 2_000, writes: 500 }
    }
}

#[derive(Clone)]
struct Stored {
    version: u64,
    value: Bytes,
    previous: Option<(u64, Bytes)>,
}

struct State {
    objects: BTreeMap<String, Stored>,
    faults: Faults,
    counts: Counts,
    next_version: u64,
    /// Start of the second that `reads` and `writes` are counted in.
    second: Instant,
    reads: u64,
    writes: u64,
}

/// The stand-in platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    rates: Rates,
}

impl Platform {
    /// Creates a platform without objects.
    pub fn new(rates: Rates) -> Self {
        let state = State {
            objects: BTreeMap::new(),
            faults: Faults::default(),
            counts: Counts::default(),
            next_version: 1,
            second: Instant::now(),
            reads: 0,
            writes: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()), rates }
    }

    /// Serves requests until `stop` is set.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        crate::serve(listener, stop, move |request| self.clone().handle(request)).await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn handle(self, request: Request) -> Response {
        let path = request.uri().path().to_string();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(control, request).await;
        }
        let faults = self.state().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return respond_with_status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let writes = request.method() == Method::PUT;
        if !self.count(writes, path.starts_with("/watch/")) {
            return respond_with_status(StatusCode::TOO_MANY_REQUESTS);
        }
        match (request.method(), path.split_at(path[1..].find('/').map_or(path.len(), |at| at + 1)))
        {
            (&Method::GET, ("/objects", key)) => self.read(&key[1..]),
            (&Method::PUT, ("/objects", key)) => self.write(key[1..].to_string(), request).await,
            (&Method::GET, ("/watch", key)) => self.watch(&key[1..], &request).await,
            (&Method::GET, ("/list", _)) => {
                let prefix = crate::query_value(&request, "prefix").unwrap_or_default();
                let state = self.state();
                let keys: Vec<&String> =
                    state.objects.keys().filter(|key| key.starts_with(prefix)).collect();
                json(StatusCode::OK, &keys)
            }
            _ => respond_with_status(StatusCode::NOT_FOUND),
        }
    }

    /// Counts a request; returns whether it is within the rate limits.
    fn count(&self, write: bool, watch: bool) -> bool {
        let mut state = self.state();
        if state.second.elapsed() >= Duration::from_secs(1) {
            state.second = Instant::now();
            (state.reads, state.writes) = (0, 0);
        }
        let within = if write {
            state.writes += 1;
            state.counts.writes += 1;
            state.counts.peak_writes = state.counts.peak_writes.max(state.writes);
            state.writes <= self.rates.writes
        } else {
            state.reads += 1;
            state.counts.reads += 1;
            state.counts.watches += u64::from(watch);
            state.counts.peak_reads = state.counts.peak_reads.max(state.reads);
            state.reads <= self.rates.reads
        };
        state.counts.limited += u64::from(!within);
        within
    }

    fn read(&self, key: &str) -> Response {
        let mut state = self.state();
        let stale = state.faults.stale_reads;
        match state.objects.get(key).cloned() {
            None => respond_with_status(StatusCode::NOT_FOUND),
            Some(Stored { previous: Some((version, value)), .. }) if stale => {
                respond_with_value(version, value)
            }
            Some(stored) => {
                state.counts.bytes += stored.value.len() as u64;
                respond_with_value(stored.version, stored.value)
            }
        }
    }

    async fn write(&self, key: String, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let value = crate::read_body(body).await;
        if value.len() > VALUE_LIMIT {
            return respond_with_status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let tag = head.headers.get(IF_MATCH).and_then(|tag| tag.to_str().ok());
        let expected: Option<u64> = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let absent = head.headers.contains_key(IF_NONE_MATCH);
        let (version, lost) = {
            let mut state = self.state();
            let old = state.objects.get(&key).cloned();
            let matches = match &old {
                None => absent,
                Some(stored) => expected == Some(stored.version),
            };
            if !matches {
                return respond_with_status(StatusCode::PRECONDITION_FAILED);
            }
            let version = state.next_version;
            state.next_version += 1;
            state.counts.bytes += value.len() as u64;
            let previous = old.map(|stored| (stored.version, stored.value));
            state.objects.insert(key, Stored { version, value, previous });
            let lost = state.faults.lose_answers > 0;
            state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
            (version, lost)
        };
        self.changed.notify_waiters();
        if lost {
            tokio::time::sleep(Duration::from_secs(30)).await;
            return respond_with_status(StatusCode::GATEWAY_TIMEOUT);
        }
        respond_with_value(version, Bytes::new())
    }

    async fn watch(&self, key: &str, request: &Request) -> Response {
        let number = |name| crate::query_value(request, name).and_then(|text| text.parse().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0)).min(WATCH_LIMIT);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.state();
                let newer = state.objects.get(key).filter(|stored| stored.version > after);
                if let Some(stored) = newer
                    && !state.faults.silent_watches
                {
                    return respond_with_value(stored.version, stored.value.clone());
                }
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                if self.state().faults.silent_watches {
                    tokio::time::sleep(WATCH_LIMIT).await;
                }
                return respond_with_status(StatusCode::NO_CONTENT);
            }
        }
    }

    async fn control(&self, path: &str, request: Request) -> Response {
        match (request.method().clone(), path) {
            (Method::GET, "counts") => json(StatusCode::OK, &self.state().counts.clone()),
            (Method::GET, "faults") => json(StatusCode::OK, &self.state().faults.clone()),
            (Method::PUT, "faults") => {
                match serde_json::from_slice(&crate::read_body(request.into_body()).await) {
                    Ok(faults) => {
                        self.state().faults = faults;
                        self.changed.notify_waiters();
                        respond_with_status(StatusCode::NO_CONTENT)
                    }
                    Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            _ => respond_with_status(StatusCode::NOT_FOUND),
        }
    }
}

fn respond_with_value(version: u64, value: Bytes) -> Response {
    let mut response = Response::new(Body::new(value));
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn respond_with_status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
