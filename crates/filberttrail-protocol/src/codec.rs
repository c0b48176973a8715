//! Encodes frames as CBOR (RFC 8949) and decodes them.

use crate::frame::Frame;
use bytes::Bytes;
use filberttrail_kernel::{Error, Result};

/// Maximum size of a received message, in bytes. It must hold a request body and its headers.
pub const MESSAGE_LIMIT: usize = 16 << 20;
/// Maximum nesting depth of a received message. Frames need four levels.
const DEPTH_LIMIT: usize = 16;
/// Maximum number of frames that are sent in one message.
pub const BATCH_LIMIT: usize = 256;

/// Encodes frames into one message. Fails with a `frame` error.
pub fn encode(frames: &[Frame]) -> Result<Bytes> {
    let mut buffer = Vec::with_capacity(64 * frames.len());
    ciborium::into_writer(frames, &mut buffer)
        .map_err(|error| Error::frame("encoder", error, "report this as a bug"))?;
    Ok(buffer.into())
}

/// Decodes the frames of one message. Fails with a `frame` error if the message is malformed,
/// nested too deeply, or from an incompatible release.
pub fn decode(message: &[u8]) -> Result<Vec<Frame>> {
    ciborium::de::from_reader_with_recursion_limit(message, DEPTH_LIMIT).map_err(|error| {
        let help = "run the same release on entries and sidecars";
        Error::frame("decoder", format!("{error:?}"), help).into()
    })
}
