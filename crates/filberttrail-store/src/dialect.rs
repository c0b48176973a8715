//! The HTTP dialect of an object store.

use crate::feed::{Changes, Object, Page, Revision};
use std::time::Duration;

/// The store's protocol: its paths and the encoding of its requests and responses.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Header of every response that counts how often the store was restored from a copy.
    pub era_header: &'static str,
    /// Builds the path that lists the objects of a kind whose names follow `after`.
    pub list: fn(kind: &str, after: Option<&str>) -> String,
    /// Builds the path that waits for changes of a kind since the revision `after`.
    pub watch: fn(kind: &str, after: Revision, wait: Duration) -> String,
    /// Builds the path that returns the changes of a kind since the revision `after` without
    /// waiting; the response may lack the changes of the last seconds.
    pub stale_changes: fn(kind: &str, after: Revision) -> String,
    /// Builds the path of one object.
    pub object: fn(kind: &str, name: &str) -> String,
    /// Builds the path of one object, for a call that fails if its revision is another one.
    pub object_at: fn(kind: &str, name: &str, revision: Revision) -> String,
    /// Decodes one page of a list; `None` if it is malformed.
    pub read_page: fn(&[u8]) -> Option<Page>,
    /// Decodes changes; `None` if they are malformed.
    pub read_changes: fn(&[u8]) -> Option<Changes>,
    /// Decodes one object; `None` if it is malformed.
    pub read_object: fn(&[u8]) -> Option<Object>,
    /// Encodes an object for a request that creates it or, if `expected` is given, replaces that
    /// revision.
    pub write_object:
        fn(name: &str, value: &serde_json::Value, expected: Option<Revision>) -> Vec<u8>,
}
