//! The protocol between rebalancers: reading a rank's state, and forwarding orders to its engine.
//! Messages are encoded as CBOR and sent over HTTP.

use crate::engine::{CALL_TIMEOUT, Engine};
use crate::order::Envelope;
use crate::report::{Counts, Holding, Report};
use bytes::Bytes;
use filberttrail_kernel::clock;
use filberttrail_web::{Body, Client, Request, Response, server};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Timeout of a call to another rebalancer. It covers one engine call, or all attempts of an
/// order, and the network round trip.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A call from a coordinator to a rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Reads the rank's report and, on request, its counts and holding.
    State {
        /// The rank of the calling coordinator.
        #[serde(rename = "by")]
        coordinator: usize,
        /// Whether to include the expert counts.
        counts: bool,
        /// Whether to include the experts that the rank holds.
        holding: bool,
    },
    /// Forwards an order to the rank's engine.
    #[serde(rename = "Give")]
    Order {
        /// The rank of the calling coordinator.
        #[serde(rename = "by")]
        coordinator: usize,
        /// The order and the epoch in which it is valid.
        #[serde(rename = "sealed")]
        envelope: Envelope,
    },
}

/// A rank's reply to a call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Reply {
    /// The engine's report; absent if it could not be read.
    pub report: Option<Report>,
    /// The expert counts, if the call requested them.
    pub counts: Option<Counts>,
    /// The experts that the rank holds, if the call requested them.
    pub holding: Option<Holding>,
    /// HTTP status of the engine's response to an order.
    pub status: Option<u16>,
    /// The last error of a call to the engine.
    #[serde(rename = "fault")]
    pub error: Option<String>,
    /// Whether the rank's rebalancer replied, rather than its engine.
    #[serde(skip)]
    pub by_rebalancer: bool,
}

/// The last call that this rank received from a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// The rank of the calling coordinator.
    pub rank: usize,
    /// When the call arrived, on the local clock.
    pub at: Duration,
}

/// Serves a rank's state and forwards orders to its engine.
pub struct Responder {
    engine: Engine,
    clock: clock::Shared,
    last_contact: Mutex<Option<Contact>>,
}

impl Responder {
    /// Creates a responder for the local engine.
    pub fn new(engine: Engine, clock: clock::Shared) -> Self {
        Self { engine, clock, last_contact: Mutex::new(None) }
    }

    /// Returns the client of the local engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns the last call from a coordinator; `None` if there was none yet.
    pub fn last_contact(&self) -> Option<Contact> {
        *self.last_contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the calling coordinator and executes the call.
    pub async fn handle_call(&self, call: Call) -> Reply {
        let (Call::State { coordinator, .. } | Call::Order { coordinator, .. }) = &call;
        let contact = Contact { rank: *coordinator, at: self.clock.now() };
        *self.last_contact.lock().unwrap_or_else(PoisonError::into_inner) = Some(contact);
        self.execute(call).await
    }

    /// Executes a call without recording a coordinator. The rank's own coordinator uses it
    /// directly.
    pub async fn execute(&self, call: Call) -> Reply {
        let mut reply = Reply::default();
        let mut record_error = |error: String| reply.error = Some(error);
        match call {
            Call::State { counts, holding, .. } => {
                let report = self.engine.fetch_report().await.map_err(&mut record_error).ok();
                let counts = match counts {
                    true => self.engine.fetch_counts().await.map_err(&mut record_error).ok(),
                    false => None,
                };
                let holding = match holding {
                    true => self.engine.fetch_holding().await.map_err(&mut record_error).ok(),
                    false => None,
                };
                Reply { report, counts, holding, ..reply }
            }
            Call::Order { envelope, .. } => {
                let status =
                    self.engine.send_order(&envelope).await.map_err(&mut record_error).ok();
                let report = self.engine.fetch_report().await.ok();
                Reply { status, report, ..reply }
            }
        }
    }
}

/// Handles an HTTP request from another rebalancer. A body that cannot be decoded is answered with
/// status 400.
pub async fn handle_request(responder: Arc<Responder>, request: Request) -> Response {
    let body = match server::read_body(request.into_body(), MAX_MESSAGE_BYTES, CALL_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return problem.into_response(),
    };
    let Ok(call) = ciborium::from_reader::<Call, _>(&body[..]) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    Response::new(Body::new(encode(&responder.handle_call(call).await)))
}

/// Sends a call to another rebalancer and returns its reply.
pub async fn send_call(client: &Client, address: SocketAddr, call: &Call) -> Result<Reply, String> {
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri("/")
        .header(hyper::header::HOST, address.to_string())
        .body(Body::new(encode(call)))
        .map_err(|error| error.to_string())?;
    let response = client.fetch(address, request, PEER_CALL_TIMEOUT, MAX_MESSAGE_BYTES).await;
    let response = response.map_err(|error| error.to_string())?;
    ciborium::from_reader(&response.body()[..]).map_err(|error| error.to_string())
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!("cannot encode a peer message as CBOR: {error}");
    }
    bytes.into()
}
