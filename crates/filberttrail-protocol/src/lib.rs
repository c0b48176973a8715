//! The protocol between entries and sidecars: typed frames in CBOR over WebSocket.
//!
//! A sidecar listens and entries connect to it; sidecars of one group also connect to each other.
//! Both peers prove that they know the shared secret before any other frame is read. One message
//! carries many frames, which reduces the cost per frame on a busy connection.

pub mod codec;
pub mod frame;
pub mod link;
mod meter;
pub mod proof;
pub mod stream;

pub use frame::{Cause, Frame, Offer, Ran};
pub use link::Link;
pub use stream::Stream;
