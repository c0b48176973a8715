//! A small HTTP client that acts as a caller, for tests and benchmarks.

use bytes::Bytes;
use filberttrail_web::client::Failure;
use filberttrail_web::{Body, Client};
use hyper::Response;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest response body that is read, in bytes.
const RESPONSE_LIMIT: usize = 16 << 20;

/// A client that sends requests with the API key of a team.
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: impl ToString) -> Self {
        Self { client: Client::new(), key: key.to_string() }
    }

    /// Returns the underlying HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Builds a request with the `authorization` header and further headers. Returns an empty
    /// `GET /` request without credentials, which an entry rejects, if `method`, `path` or a header
    /// is invalid.
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

    /// Sends a request and reads the complete response, of at most 16 MiB, within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: hyper::Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        self.client.fetch(address, request, timeout, RESPONSE_LIMIT).await
    }

    /// Requests a completion of up to `tokens` tokens from the model `draft` and reads the complete
    /// response, within 60 s.
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

    /// Sends a POST request to a service, with an idempotency key if one is given, and reads
    /// the whole response, within 60 s.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<Response<Bytes>, Failure> {
        let key_header = idempotency_key.map(|key| ("idempotency-key", key));
        let headers: Vec<(&str, &str)> = key_header.into_iter().collect();
        let request = self.request("POST", path, &headers, body.to_string());
        self.call(address, request, Duration::from_secs(60)).await
    }
}

/// Joins the text of the events of a streamed completion. Only lines that start with `data: {`
/// count as events; others, such as `data: [DONE]`, are skipped. Returns `None` if an event is not
/// JSON or has no text, if the body is not UTF-8, or if the stream does not end with
/// `data: [DONE]`.
pub fn parse_streamed_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let is_complete = text.trim_end().ends_with("data: [DONE]");
    let events = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let completion: Option<String> = events
        .map(|event| {
            // Puts back the opening brace, which was stripped with the prefix.
            let value: serde_json::Value = serde_json::from_str(&format!("{{{event}")).ok()?;
            value["choices"][0]["text"].as_str().map(str::to_string)
        })
        .collect();
    completion.filter(|_| is_complete)
}
