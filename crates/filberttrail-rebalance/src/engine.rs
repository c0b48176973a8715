//! Calls to an engine.

use crate::Interface;
use crate::order::Envelope;
use crate::report::{Counts, Holding, Report};
use filberttrail_web::Client;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call may take; engines answer within a few milliseconds.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an order may take before it is given again. A group may be held meanwhile.
const ORDER_TIMEOUT: Duration = Duration::from_millis(50);
/// How often an order is given before its giver is told that it got no answer.
const ORDER_TRIES: u32 = 3;
/// Bytes of an answer.
const ANSWER_LIMIT: usize = 1 << 20;

/// An engine.
pub struct Engine {
    address: SocketAddr,
    interface: Interface,
    client: Client,
}

impl Engine {
    /// Makes a client of the engine at an address.
    pub fn new(address: SocketAddr, interface: Interface) -> Self {
        Self { address, interface, client: Client::new() }
    }

    /// Reads its report.
    pub async fn report(&self) -> Result<Report, String> {
        self.get(self.interface.report_path, self.interface.read_report).await
    }

    /// Reads its counts.
    pub async fn counts(&self) -> Result<Counts, String> {
        self.get(self.interface.counts_path, self.interface.read_counts).await
    }

    /// Reads which experts it holds.
    pub async fn holding(&self) -> Result<Holding, String> {
        self.get(self.interface.holding_path, self.interface.read_holding).await
    }

    /// Gives an order, a few times if need be, and returns the status. An error means that it may be
    /// carried out later, even several times: orders change nothing the second time.
    pub async fn give(&self, envelope: &Envelope) -> Result<u16, String> {
        let body = (self.interface.write_order)(envelope);
        let mut fault = String::new();
        for _ in 0..ORDER_TRIES {
            let path = self.interface.order_path;
            match self.call(Method::POST, path, body.clone(), ORDER_TIMEOUT).await {
                Ok(answer) => return Ok(answer.status().as_u16()),
                Err(failed) => fault = failed,
            }
        }
        Err(fault)
    }

    async fn get<T>(&self, path: &str, read: fn(&[u8]) -> Option<T>) -> Result<T, String> {
        let answer = self.call(Method::GET, path, Vec::new(), CALL_TIMEOUT).await?;
        let status = answer.status();
        read(answer.body()).ok_or_else(|| format!("{path}: status {status}, unreadable"))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<hyper::Response<bytes::Bytes>, String> {
        let answer = self.client.call(self.address, method, path, body, patience, ANSWER_LIMIT);
        answer.await.map_err(|fault| fault.to_string())
    }
}
