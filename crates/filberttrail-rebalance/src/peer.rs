//! What rebalancers say to each other: a rank's state, and orders to pass on to its engine.

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

/// How long a rebalancer may take to answer: a call or the tries of an order, and the way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of a message at most.
const MESSAGE_LIMIT: usize = 1 << 20;

/// What a coordinator asks of a rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Ask {
    /// Its report, and what else is named.
    State {
        /// The rank that asks; it coordinates.
        by: usize,
        /// Whether counts are wanted.
        counts: bool,
        /// Whether the experts that it holds are wanted.
        holding: bool,
    },
    /// To give an order to its engine.
    Give {
        /// The rank that asks; it coordinates.
        by: usize,
        /// The order.
        #[serde(rename = "sealed")]
        envelope: Envelope,
    },
}

/// What a rank answers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Told {
    /// Its report.
    pub report: Option<Report>,
    /// Its counts.
    pub counts: Option<Counts>,
    /// The experts that it holds.
    pub holding: Option<Holding>,
    /// The engine's status for an order.
    pub status: Option<u16>,
    /// What went wrong.
    pub fault: Option<String>,
    /// Whether the rank's rebalancer answered, not its engine.
    #[serde(skip)]
    pub by_rebalancer: bool,
}

/// Who coordinates, as far as this rank has heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// The rank.
    pub rank: usize,
    /// When it last asked.
    pub at: Duration,
}

/// The side of a rank that answers.
pub struct Rank {
    engine: Engine,
    clock: clock::Shared,
    heard: Mutex<Option<Heard>>,
}

impl Rank {
    /// Answers for an engine.
    pub fn new(engine: Engine, clock: clock::Shared) -> Self {
        Self { engine, clock, heard: Mutex::new(None) }
    }

    /// Returns its engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns who coordinates.
    pub fn heard(&self) -> Option<Heard> {
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers what a coordinator asks.
    pub async fn answer(&self, ask: Ask) -> Told {
        let (Ask::State { by, .. } | Ask::Give { by, .. }) = &ask;
        let heard = Heard { rank: *by, at: self.clock.now() };
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = Some(heard);
        self.tell(ask).await
    }

    /// The same, for the rank's own coordinator.
    pub async fn tell(&self, ask: Ask) -> Told {
        let mut told = Told::default();
        let mut note = |fault: String| told.fault = Some(fault);
        match ask {
            Ask::State { counts, holding, .. } => {
                let report = self.engine.report().await.map_err(&mut note).ok();
                let counts = match counts {
                    true => self.engine.counts().await.map_err(&mut note).ok(),
                    false => None,
                };
                let holding = match holding {
                    true => self.engine.holding().await.map_err(&mut note).ok(),
                    false => None,
                };
                Told { report, counts, holding, ..told }
            }
            Ask::Give { envelope, .. } => {
                let status = self.engine.give(&envelope).await.map_err(&mut note).ok();
                let report = self.engine.report().await.ok();
                Told { status, report, ..told }
            }
        }
    }
}

/// Answers a request of another rebalancer.
pub async fn handle(rank: Arc<Rank>, request: Request) -> Response {
    let body = match server::read_body(request.into_body(), MESSAGE_LIMIT, CALL_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return problem.into_response(),
    };
    let Ok(ask) = ciborium::from_reader::<Ask, _>(&body[..]) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    Response::new(Body::new(encode(&rank.answer(ask).await)))
}

/// Asks another rebalancer.
pub async fn ask(client: &Client, address: SocketAddr, ask: &Ask) -> Result<Told, String> {
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri("/")
        .header(hyper::header::HOST, address.to_string())
        .body(Body::new(encode(ask)))
        .map_err(|fault| fault.to_string())?;
    let answer = client.fetch(address, request, ANSWER_TIMEOUT, MESSAGE_LIMIT).await;
    let answer = answer.map_err(|fault| fault.to_string())?;
    ciborium::from_reader(&answer.body()[..]).map_err(|fault| fault.to_string())
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut text = Vec::new();
    if let Err(fault) = ciborium::into_writer(value, &mut text) {
        log::error!("cannot encode a message: {fault}");
    }
    text.into()
}
