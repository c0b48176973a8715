//! How the rebalancer speaks with engines and the store.

use crate::order::Envelope;
use crate::report::{Counts, Holding, Report, Shape};
use filberttrail_store::feed::Dialect;
use serde_json::Value;
use std::net::SocketAddr;

/// An engine as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of its group.
    pub group: String,
    /// Its rank.
    pub rank: usize,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The names and decoders of a platform.
#[derive(Clone)]
pub struct Interface {
    /// How the store spells its calls.
    pub dialect: Dialect,
    /// The kind under which engines register.
    pub member_kind: &'static str,
    /// The kind and the name of the object that holds the configuration.
    pub configuration: (&'static str, &'static str),
    /// The path of an engine's report.
    pub report_path: &'static str,
    /// The path of an engine's counts.
    pub counts_path: &'static str,
    /// The path of the experts that an engine holds.
    pub holding_path: &'static str,
    /// The path of orders.
    pub order_path: &'static str,
    /// Reads a report.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Reads counts.
    pub read_counts: fn(&[u8]) -> Option<Counts>,
    /// Reads the experts of the map in use.
    pub read_holding: fn(&[u8]) -> Option<Holding>,
    /// Reads a registration.
    pub read_member: fn(&Value) -> Option<Member>,
    /// Reads what the configuration says of a service's experts.
    pub read_shape: fn(&Value, service: &str) -> Option<Shape>,
    /// Writes an order.
    pub write_order: fn(&Envelope) -> Vec<u8>,
}
