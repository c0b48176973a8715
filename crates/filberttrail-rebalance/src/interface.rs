//! The interface between the rebalancer and a platform: paths, object kinds and codecs.

use crate::order::Envelope;
use crate::report::{Counts, Holding, Report, Shape};
use filberttrail_store::feed::Dialect;
use serde_json::Value;
use std::net::SocketAddr;

/// An engine's registration in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the engine's group.
    pub group: String,
    /// The engine's rank in the group, from 0.
    pub rank: usize,
    /// The address on which the engine listens.
    pub address: SocketAddr,
}

/// Names and codecs of a platform.
#[derive(Clone)]
pub struct Interface {
    /// The HTTP dialect of the store.
    pub dialect: Dialect,
    /// The store kind under which engines register.
    pub member_kind: &'static str,
    /// Kind and name of the store object that holds the configuration.
    pub configuration: (&'static str, &'static str),
    /// HTTP path of an engine's report.
    pub report_path: &'static str,
    /// HTTP path of an engine's expert counts.
    pub counts_path: &'static str,
    /// HTTP path of the experts that an engine holds.
    pub holding_path: &'static str,
    /// HTTP path that accepts orders.
    pub order_path: &'static str,
    /// Decodes a report; `None` if it is malformed.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Decodes expert counts; `None` if they are malformed.
    pub read_counts: fn(&[u8]) -> Option<Counts>,
    /// Decodes the experts that a rank holds under the current map; `None` if they are malformed.
    pub read_holding: fn(&[u8]) -> Option<Holding>,
    /// Decodes a registration; `None` if it is malformed.
    pub read_member: fn(&Value) -> Option<Member>,
    /// Reads the shape of a service's experts from the configuration; `None` if it has none.
    pub read_shape: fn(&Value, service: &str) -> Option<Shape>,
    /// Encodes an order as a request body.
    pub write_order: fn(&Envelope) -> Vec<u8>,
}
