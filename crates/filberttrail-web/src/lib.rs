//! HTTP for every process: a bounded server, a small client, bodies and problem documents.

pub mod body;
pub mod client;
pub mod problem;
pub mod server;
pub mod write_timeout;

pub use body::Body;
pub use client::Client;
pub use problem::Problem;
pub use server::Limits;

/// A request as the server hands it on.
pub type Request = hyper::Request<hyper::body::Incoming>;
/// An answer as the server sends it.
pub type Response = hyper::Response<Body>;
