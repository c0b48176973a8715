//! HTTP/1 building blocks: a server with resource limits, a client, bodies and problem documents.

pub mod body;
pub mod client;
pub mod crash;
pub mod crowd;
pub mod memory;
pub mod problem;
pub mod server;
pub mod write_timeout;

pub use body::Body;
pub use client::Client;
pub use problem::Problem;
pub use server::Limits;

/// A request as passed to the server's handler; its body has not been read.
pub type Request = hyper::Request<hyper::body::Incoming>;
/// A response that the server sends.
pub type Response = hyper::Response<Body>;
