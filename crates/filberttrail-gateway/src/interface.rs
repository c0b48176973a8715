//! The interface between the gateway and the platform that it runs on.

use crate::Headers;
use filberttrail_fleet::{Configuration, Upstream};
use filberttrail_store::feed::Dialect;
use hyper::header::HeaderValue;
use serde_json::Value;

/// The names and decoders of a platform.
#[derive(Clone)]
pub struct Interface {
    /// Names of the HTTP headers.
    pub headers: Headers,
    /// Paths and encoding of the store's API.
    pub dialect: Dialect,
    /// The kind of object under which upstreams register.
    pub upstreams: &'static str,
    /// The kind and the name of the configuration object.
    pub configuration: (&'static str, &'static str),
    /// The kind of object that names a data centre out of service.
    pub outs: &'static str,
    /// Decodes the header that names the parts of a prompt. Returns the ids of those parts that
    /// other requests may share, in order.
    pub read_shared_parts: fn(&HeaderValue) -> Vec<String>,
    /// Decodes a registration from its name and value.
    pub read_upstream: fn(&str, &Value) -> Option<Upstream>,
    /// Decodes a configuration. Also returns the number of entries that it could not decode.
    pub read_configuration: fn(&Value) -> Option<(Configuration, usize)>,
}
