//! The protocol between rebalancers: reading the state of ranks, and forwarding orders to their
//! engines. A call may name members, to which the called rebalancer forwards it. Messages are
//! encoded as CBOR and sent over HTTP.

use crate::engine::{CALL_TIMEOUT, Engine};
use crate::items::Items;
use crate::order::Envelope;
use crate::report::{Holding, Report};
use crate::sampler::{self, Sampler};
use crate::{Interface, Settings};
use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_limit::{Memory, body};
use filberttrail_web::{Body, Client, Request, Response};
use futures::future;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Timeout of a call to one rebalancer. It covers one engine call, or all attempts of an order, and
/// the network round trip.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call to a rebalancer that forwards it. It covers the call to a member and, if that
/// fails, one call to the member's engine.
const RELAY_CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of members in a call. A relay of a group of 4,096 ranks, the largest, has 63.
const MAX_MEMBERS: usize = 64;
/// Part of the VM's memory for received calls, in percent.
const CALLS_PERCENT: usize = 25;
/// Part of the VM's memory for responses to forwarded calls, and for those to the rank's own
/// coordinator, in percent.
const RESPONSES_PERCENT: usize = 15;
/// Share of the descriptors for forwarded calls: one in this many.
const FORWARDED_SHARE: usize = 3;
/// Bytes that a value of a message takes at most when it is decoded, on average. The largest, a member's
/// reply, takes about 300 and has three values.
const ITEM_BYTES: usize = 96;

/// What a call asks of a rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Query {
    /// Reads the rank's report and, on request, the increments of its expert counts and its
    /// holding.
    State {
        /// Whether to include the increments of the expert counts.
        counts: bool,
        /// Whether to include the experts that the rank holds.
        holding: bool,
    },
    /// Forwards an order to the rank's engine.
    Order(Envelope),
}

/// A rank to which a call is forwarded.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Member(
    /// The rank.
    pub usize,
    /// The address of its engine.
    pub SocketAddr,
);

/// A call from a coordinator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The rank of the calling coordinator.
    #[serde(rename = "by")]
    pub coordinator: usize,
    /// What is asked of the called rank and of the members.
    pub query: Query,
    /// The ranks to which the called rebalancer forwards the query.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<Member>,
}

/// A rank's reply to a query.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Reply {
    /// The engine's report; absent if it could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    /// The experts that the rank holds, if the query requested them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holding: Option<Holding>,
    /// HTTP status of the engine's response to an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// The last error of a call to the engine.
    #[serde(default, rename = "fault", skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Whether the engine was called because the rank's rebalancer did not respond.
    #[serde(default)]
    pub bypassed: bool,
}

/// A rebalancer's answer to a call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Answer {
    /// The reply of the called rank.
    pub own: Reply,
    /// The replies of the members, by rank.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<(usize, Reply)>,
    /// The increments of the ranks' expert counts, added up; empty if there were none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<u64>,
}

/// The replies of several ranks.
#[derive(Debug, Clone, Default)]
pub struct Replies {
    /// The replies, by rank. Ranks that could not be reached are absent.
    pub ranks: Vec<(usize, Reply)>,
    /// The increments of the ranks' expert counts, added up; empty if there were none.
    pub counts: Vec<u64>,
}

impl Replies {
    /// Adds the replies and counts of other ranks.
    pub fn merge(&mut self, other: Self) {
        self.ranks.extend(other.ranks);
        sampler::add(&mut self.counts, &other.counts);
    }

    fn from_answer(rank: usize, answer: Answer) -> Self {
        let Answer { own, members, counts } = answer;
        let mut ranks = vec![(rank, own)];
        ranks.extend(members);
        Self { ranks, counts }
    }
}

/// The last call that this rank received from a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// The rank of the calling coordinator.
    pub rank: usize,
    /// When the call arrived, on the local clock.
    pub at: Duration,
}

/// Serves a rank's state, and forwards orders to its engine and calls to other rebalancers.
pub struct Responder {
    engine: Engine,
    interface: Interface,
    /// Port on which all rebalancers listen.
    port: u16,
    client: Client,
    clock: clock::Shared,
    sampler: Mutex<Sampler>,
    last_contact: Mutex<Option<Contact>>,
    /// Memory for received calls.
    calls: Memory,
    /// Calls to members that run at once.
    forwarded: Semaphore,
    /// Calls of the rank's own coordinator that run at once.
    own: Semaphore,
}

impl Responder {
    /// Creates a responder for the local engine.
    pub fn new(settings: &Settings, interface: Interface, clock: clock::Shared) -> Self {
        let responses = settings.memory_bytes / 100 * RESPONSES_PERCENT / MAX_MESSAGE_BYTES;
        let forwarded = responses.min(settings.descriptors / FORWARDED_SHARE);
        Self {
            calls: Memory::new(settings.memory_bytes / 100 * CALLS_PERCENT),
            forwarded: Semaphore::new(forwarded.max(1)),
            own: Semaphore::new(responses.max(1)),
            engine: Engine::new(settings.engine, interface.clone()),
            interface,
            port: settings.listen.port(),
            client: Client::new(),
            clock,
            sampler: Mutex::default(),
            last_contact: Mutex::new(None),
        }
    }

    /// Returns the client of the local engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns the last call from a coordinator; `None` if there was none yet.
    pub fn last_contact(&self) -> Option<Contact> {
        *self.last_contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the calling coordinator, executes the call and forwards it to the members.
    pub async fn handle_call(&self, call: Call) -> Answer {
        let contact = Contact { rank: call.coordinator, at: self.clock.now() };
        *self.last_contact.lock().unwrap_or_else(PoisonError::into_inner) = Some(contact);
        let Call { coordinator, query, members } = call;
        let forwarded = encode(&Call { coordinator, query: query.clone(), members: Vec::new() });
        let calls = members.iter().map(|member| self.call_member(*member, &query, &forwarded));
        let (mut answer, others) =
            future::join(self.execute(&query), future::join_all(calls)).await;
        let mut replies = Replies::default();
        others.into_iter().for_each(|other| replies.merge(other));
        answer.members = replies.ranks;
        sampler::add(&mut answer.counts, &replies.counts);
        answer
    }

    /// Executes a query at the local engine without recording a coordinator. The rank's own
    /// coordinator uses it directly.
    pub async fn execute(&self, query: &Query) -> Answer {
        let mut reply = Reply::default();
        let mut increments = None;
        let mut record_error = |error: String| reply.error = Some(error);
        match query {
            Query::State { counts, holding } => {
                let report = self.engine.fetch_report().await.map_err(&mut record_error).ok();
                if *counts
                    && let Ok(counts) = self.engine.fetch_counts().await.map_err(&mut record_error)
                {
                    let mut sampler = self.sampler.lock().unwrap_or_else(PoisonError::into_inner);
                    increments = sampler.sample(self.clock.now(), counts);
                }
                let holding = match holding {
                    true => self.engine.fetch_holding().await.map_err(&mut record_error).ok(),
                    false => None,
                };
                reply = Reply { report, holding, ..reply };
            }
            Query::Order(envelope) => {
                let status = self.engine.send_order(envelope).await.map_err(&mut record_error).ok();
                let report = self.engine.fetch_report().await.ok();
                reply = Reply { status, report, ..reply };
            }
        }
        Answer { own: reply, members: Vec::new(), counts: increments.unwrap_or_default() }
    }

    /// Executes a query at the local engine and returns the reply as that of `rank`.
    pub async fn execute_as(&self, rank: usize, query: &Query) -> Replies {
        Replies::from_answer(rank, self.execute(query).await)
    }

    /// Calls another rank through its rebalancer or, if that does not respond, at its engine.
    /// `encoded` is the encoded call.
    /// Returns no reply if too many calls are being forwarded.
    async fn call_member(&self, member: Member, query: &Query, encoded: &Bytes) -> Replies {
        let Member(rank, engine) = member;
        let place = tokio::time::timeout(PEER_CALL_TIMEOUT, self.forwarded.acquire()).await;
        let Ok(Ok(_place)) = place else { return Replies::default() };
        match self.send(engine, encoded.clone(), PEER_CALL_TIMEOUT).await {
            Ok(answer) => Replies::from_answer(rank, answer),
            Err(error) => {
                log::debug!("rebalancer of rank {rank} failed, calling its engine: {error}");
                self.call_engine(member, query).await
            }
        }
    }

    /// Calls a rank's rebalancer, which forwards the call to its members. If it does not respond,
    /// only its own engine is called, and the members are missing from the replies.
    pub async fn call_relay(&self, member: Member, call: &Call) -> Replies {
        let timeout = if call.members.is_empty() { PEER_CALL_TIMEOUT } else { RELAY_CALL_TIMEOUT };
        let place = tokio::time::timeout(timeout, self.own.acquire()).await;
        let Ok(Ok(_place)) = place else { return Replies::default() };
        match self.send(member.1, encode(call), timeout).await {
            Ok(answer) => Replies::from_answer(member.0, answer),
            Err(error) => {
                log::debug!("rebalancer of rank {} failed, calling its engine: {error}", member.0);
                self.call_engine(member, &call.query).await
            }
        }
    }

    /// Calls the engine of a rank whose rebalancer does not respond. Its report may be slightly
    /// outdated, which only delays decisions. Counts and holdings are not read, because reading
    /// them from another VM pauses the group.
    pub async fn call_engine(&self, member: Member, query: &Query) -> Replies {
        let Member(rank, address) = member;
        let engine = Engine::new(address, self.interface.clone());
        let reply = match query {
            Query::State { .. } => {
                Reply { report: engine.fetch_report().await.ok(), ..Reply::default() }
            }
            Query::Order(envelope) => {
                Reply { status: engine.send_order(envelope).await.ok(), ..Reply::default() }
            }
        };
        Replies { ranks: vec![(rank, Reply { bypassed: true, ..reply })], counts: Vec::new() }
    }

    async fn send(
        &self,
        engine: SocketAddr,
        call: Bytes,
        timeout: Duration,
    ) -> Result<Answer, String> {
        let address = SocketAddr::new(engine.ip(), self.port);
        let request = hyper::Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(hyper::header::HOST, address.to_string())
            .body(Body::new(call))
            .map_err(|error| error.to_string())?;
        let response = self.client.fetch(address, request, timeout, MAX_MESSAGE_BYTES).await;
        let response = response.map_err(|error| error.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let answer = decode::<Answer>(response.body(), &mut self.calls.hold());
        answer.filter(|answer| answer.members.len() <= MAX_MEMBERS).ok_or("unreadable".to_string())
    }
}

/// Handles an HTTP request from another rebalancer. A body that cannot be decoded, has too many members
/// or would take too much memory is answered with status 400.
pub async fn handle_request(responder: Arc<Responder>, request: Request) -> Response {
    let calls = &responder.calls;
    let body = match body::read(request.into_body(), MAX_MESSAGE_BYTES, CALL_TIMEOUT, calls).await {
        Ok(body) => body,
        Err(problem) => return problem.into_response(),
    };
    // Held until the call is answered.
    let mut memory = calls.hold();
    let call = decode::<Call>(&body, &mut memory);
    drop(body);
    let Some(call) = call.filter(|call| call.members.len() <= MAX_MEMBERS) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    Response::new(Body::new(encode(&responder.handle_call(call).await)))
}

/// Decodes a message. Returns `None` if it is malformed, or if there is no memory for its decoded form.
fn decode<T: for<'a> Deserialize<'a>>(
    message: &[u8],
    memory: &mut filberttrail_limit::Holding,
) -> Option<T> {
    let Items(items) = ciborium::from_reader(message).ok()?;
    let has_memory = memory.grow(items.saturating_mul(ITEM_BYTES));
    has_memory.then(|| ciborium::from_reader(message).ok()).flatten()
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!("cannot encode a peer message as CBOR: {error}");
    }
    bytes.into()
}
