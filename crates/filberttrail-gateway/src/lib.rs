//! The gateway: an entry that forwards requests directly to upstreams over HTTP, without sidecars.

pub mod allowance;
pub mod blame;
pub mod call;
pub mod caller_request;
pub mod connection;
pub mod crash;
pub mod daemon;
pub mod exchange;
pub mod follow;
pub mod headers;
pub mod hub;
pub mod id_hash;
pub mod interface;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod open_request;
pub mod outcome;
pub mod peers;
pub mod permit;
pub mod problem_response;
pub mod queue_guard;
pub mod relay;
pub mod settings;
pub mod signals;
pub mod slot_request;
pub(crate) mod state;
pub mod target;
pub mod trial;
pub mod verdicts;

pub use daemon::Gateway;
pub use headers::Headers;
pub use hub::Hub;
pub use interface::Interface;
pub use settings::Settings;
