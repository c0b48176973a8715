//! HTTP client of an engine.

use crate::Interface;
use crate::order::Envelope;
use crate::report::{Counts, Holding, Report};
use filberttrail_web::Client;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call; engines respond within a few milliseconds.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of one attempt of an order. It is short because the group may be held meanwhile.
const ORDER_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of attempts of an order before the caller gets an error.
const ORDER_ATTEMPTS: u32 = 3;
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Client of one engine.
pub struct Engine {
    address: SocketAddr,
    interface: Interface,
    client: Client,
}

impl Engine {
    /// Creates a client of the engine at an address.
    pub fn new(address: SocketAddr, interface: Interface) -> Self {
        Self { address, interface, client: Client::new() }
    }

    /// Fetches the engine's report.
    pub async fn fetch_report(&self) -> Result<Report, String> {
        self.get(self.interface.report_path, self.interface.read_report).await
    }

    /// Fetches the expert counts of the engine's requests.
    pub async fn fetch_counts(&self) -> Result<Counts, String> {
        self.get(self.interface.counts_path, self.interface.read_counts).await
    }

    /// Fetches the experts that the engine holds.
    pub async fn fetch_holding(&self) -> Result<Holding, String> {
        self.get(self.interface.holding_path, self.interface.read_holding).await
    }

    /// Sends an order, with retries, and returns the HTTP status of the response. After an error
    /// the order may still be applied later, even several times. This is safe because orders are
    /// idempotent.
    pub async fn send_order(&self, envelope: &Envelope) -> Result<u16, String> {
        let body = (self.interface.write_order)(envelope);
        let mut error = String::new();
        for _ in 0..ORDER_ATTEMPTS {
            let path = self.interface.order_path;
            match self.call(Method::POST, path, body.clone(), ORDER_TIMEOUT).await {
                Ok(response) => return Ok(response.status().as_u16()),
                Err(call_error) => error = call_error,
            }
        }
        Err(error)
    }

    async fn get<T>(&self, path: &str, read: fn(&[u8]) -> Option<T>) -> Result<T, String> {
        let response = self.call(Method::GET, path, Vec::new(), CALL_TIMEOUT).await?;
        let status = response.status();
        read(response.body()).ok_or_else(|| format!("{path}: status {status}, unreadable"))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<hyper::Response<bytes::Bytes>, String> {
        let response =
            self.client.call(self.address, method, path, body, timeout, MAX_RESPONSE_BYTES);
        response.await.map_err(|error| error.to_string())
    }
}
