//! A small caller, for `dev`, tests and benchmarks.

use bytes::Bytes;
use filberttrail_web::client::Failure;
use filberttrail_web::{Body, Client};
use hyper::Response;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// A caller with a team's key.
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// Makes a caller with a key.
    pub fn new(key: impl ToString) -> Self {
        Self { client: Client::new(), key: key.to_string() }
    }

    /// Returns the client beneath.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Builds a request with the key and further headers.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> hyper::Request<Body> {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "filberttrail")
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Body::new(body)).unwrap_or_else(|_| hyper::Request::new(Body::empty()))
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: hyper::Request<Body>,
        patience: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        self.client.fetch(address, request, patience, ANSWER_LIMIT).await
    }

    /// Asks for a completion and reads the whole answer.
    pub async fn complete(
        &self,
        address: SocketAddr,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<Response<Bytes>, Failure> {
        let body = serde_json::json!({
            "model": "draft", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let request = self.request("POST", "/v1/completions", &[], body.to_string());
        self.call(address, request, Duration::from_secs(60)).await
    }

    /// Calls a service with an idempotency key, if one is given.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Response<Bytes>, Failure> {
        let key_header = key.map(|key| ("idempotency-key", key));
        let headers: Vec<(&str, &str)> = key_header.into_iter().collect();
        let request = self.request("POST", path, &headers, body.to_string());
        self.call(address, request, Duration::from_secs(60)).await
    }
}

/// Joins the words of a streamed completion; `None` unless it ended as a whole one does.
pub fn parse_streamed_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let whole = text.trim_end().ends_with("data: [DONE]");
    let pieces = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let words: Option<String> = pieces
        .map(|piece| {
            let value: serde_json::Value = serde_json::from_str(&format!("{{{piece}")).ok()?;
            value["choices"][0]["text"].as_str().map(str::to_string)
        })
        .collect();
    words.filter(|_| whole)
}
