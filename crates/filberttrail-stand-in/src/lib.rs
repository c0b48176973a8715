//! Stand-ins for the external systems: the platform's store, inference engines and plain services.
//!
//! Each is an HTTP server. Tests inject faults and read counters with requests below `/control/`.
//! The product's own decisions are not made here.

pub mod engine;
pub mod platform;
pub mod popularity;
pub mod requests;
pub mod service;
pub mod text;

pub use engine::Engine;
pub use platform::Platform;
pub use service::Service;

use filberttrail_web::memory::{Budget, Part};
use filberttrail_web::server::{self, Limits};
use filberttrail_web::{Request, Response};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Returns the value of a query parameter.
pub(crate) fn query_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|pair| pair.1)
}

/// Reads a request body of at most 16 MiB within 10 s; returns an empty one if that fails.
pub(crate) async fn read_body(body: Incoming) -> bytes::Bytes {
    let (limit, timeout) = (16 << 20, Duration::from_secs(10));
    let memory = Budget::unlimited();
    server::read_body(body, limit, timeout, &memory, Part::Requests, "").await.unwrap_or_default()
}

/// Serves requests with the default connection limits until `stop` is set.
pub(crate) async fn serve<H, F>(listener: TcpListener, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = Limits { memory: Budget::unlimited(), ..Limits::default() };
    server::serve(listener, limits, stop, handler).await;
}
