//! A client of the platform's object API: read, conditional write, watch and list.

use bytes::Bytes;
use filberttrail_kernel::id::Version;
use filberttrail_kernel::{Error, Result};
use filberttrail_web::{Body, Client};
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The timeout of a call, not counting the requested wait of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum size of a response body, in bytes: above the platform's limit for a value, to allow
/// for lists.
const RESPONSE_LIMIT: usize = 4 << 20;

/// A client of the platform's object API; counts its calls.
pub struct Platform {
    address: SocketAddr,
    client: Client,
    calls: AtomicU64,
}

/// A stored object.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// The version that its last write got.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// The result of a conditional write. After an error, the write may or may not have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// The write took effect and gave the object this version.
    Done(Version),
    /// The object had another version than expected; nothing was written.
    Conflict,
}

impl Platform {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(), calls: AtomicU64::new(0) }
    }

    /// Returns the number of calls made since the client was created.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn read(&self, key: &str) -> Result<Option<Object>> {
        let response =
            self.call(Method::GET, &format!("/objects/{key}"), None, CALL_TIMEOUT).await?;
        read_object(key, response)
    }

    /// Writes an object if its version is still `expected`; 0 means that it must not exist.
    pub async fn write(&self, key: &str, expected: Version, value: Bytes) -> Result<Write> {
        let path = format!("/objects/{key}");
        let response = self.call(Method::PUT, &path, Some((expected, value)), CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok(Write::Done(read_version(key, &response)?)),
            StatusCode::PRECONDITION_FAILED => Ok(Write::Conflict),
            status => Err(status_error(key, status)),
        }
    }

    /// Waits until an object's version exceeds `after`; returns `None` if `wait` elapses first.
    pub async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Object>> {
        let path = format!("/watch/{key}?after={after}&wait-ms={}", wait.as_millis());
        let response = self.call(Method::GET, &path, None, wait + CALL_TIMEOUT).await?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        read_object(key, response)
    }

    /// Returns the keys with a prefix.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let path = format!("/list?prefix={prefix}");
        let response = self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(prefix, response.status()));
        }
        serde_json::from_slice(response.body()).map_err(|error| {
            Error::platform(prefix, error, "check that the address is the platform's").into()
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        write: Option<(Version, Bytes)>,
        timeout: Duration,
    ) -> Result<hyper::Response<Bytes>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut request = Request::builder().method(method).uri(path).header("host", "platform");
        let body = match write {
            None => Body::empty(),
            Some((0, value)) => {
                request = request.header(IF_NONE_MATCH, "*");
                Body::new(value)
            }
            Some((expected, value)) => {
                request = request.header(IF_MATCH, format!("\"{expected}\""));
                Body::new(value)
            }
        };
        let help = "check --platform and the platform's health";
        let request = request.body(body).map_err(|error| Error::platform(path, error, help))?;
        let response = self.client.fetch(self.address, request, timeout, RESPONSE_LIMIT).await;
        response.map_err(|error| Error::platform(path, error, help).into())
    }
}

fn read_object(key: &str, response: hyper::Response<Bytes>) -> Result<Option<Object>> {
    match response.status() {
        StatusCode::OK => {
            let version = read_version(key, &response)?;
            Ok(Some(Object { version, value: response.into_body() }))
        }
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(status_error(key, status)),
    }
}

fn read_version(key: &str, response: &hyper::Response<Bytes>) -> Result<Version> {
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.and_then(|tag| tag.trim_matches('"').parse().ok()).ok_or_else(|| {
        let help = "check that the address is the platform's";
        Error::platform(key, "the response has no version", help).into()
    })
}

fn status_error(key: &str, status: StatusCode) -> error_stack::Report<Error> {
    let help = match status {
        StatusCode::TOO_MANY_REQUESTS => "retry later: the platform's rate limit is exhausted",
        StatusCode::PAYLOAD_TOO_LARGE => "keep values below a megabyte",
        _ => "check the platform's health",
    };
    Error::platform(key, format!("status {status}"), help).into()
}
