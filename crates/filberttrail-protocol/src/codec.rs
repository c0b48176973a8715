//! Encodes frames as CBOR (RFC 8949) and decodes them.

use crate::frame::Frame;
use bytes::Bytes;
use filberttrail_kernel::{Error, Result};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// Maximum size of a received message, in bytes. It must hold a request body and its headers.
pub const MESSAGE_LIMIT: usize = 16 << 20;
/// Maximum nesting depth of a received message. Frames need four levels.
const DEPTH_LIMIT: usize = 16;
/// Maximum number of frames that are sent in one message.
pub const BATCH_LIMIT: usize = 256;
/// Size of the payloads in one message from which on no frame is added to it, in bytes. With one frame
/// of the largest size, 8 MiB, the message stays below `MESSAGE_LIMIT`.
pub const BATCH_BYTES: usize = 1 << 20;

/// Encodes frames into one message. Fails with a `frame` error.
pub fn encode(frames: &[Frame]) -> Result<Bytes> {
    let mut buffer = Vec::with_capacity(64 * frames.len());
    ciborium::into_writer(frames, &mut buffer)
        .map_err(|error| Error::frame("encoder", error, "report this as a bug"))?;
    Ok(buffer.into())
}

/// The frames of a received message.
struct Batch(Vec<Frame>);

impl<'de> Deserialize<'de> for Batch {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_seq(BatchVisitor)
    }
}

/// Reads at most `BATCH_LIMIT` frames. A decoded frame takes many times as much memory as a small one
/// has bytes in a message.
struct BatchVisitor;

impl<'de> Visitor<'de> for BatchVisitor {
    type Value = Batch;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {BATCH_LIMIT} frames")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> std::result::Result<Batch, A::Error> {
        let mut frames = Vec::new();
        while let Some(frame) = access.next_element()? {
            if frames.len() == BATCH_LIMIT {
                return Err(serde::de::Error::invalid_length(BATCH_LIMIT + 1, &self));
            }
            frames.push(frame);
        }
        Ok(Batch(frames))
    }
}

/// Decodes the frames of one message. Fails with a `frame` error if the message is malformed,
/// nested too deeply, from an incompatible release, or has more than `BATCH_LIMIT` frames.
pub fn decode(message: &[u8]) -> Result<Vec<Frame>> {
    let batch = ciborium::de::from_reader_with_recursion_limit(message, DEPTH_LIMIT);
    batch.map(|Batch(frames)| frames).map_err(|error: ciborium::de::Error<std::io::Error>| {
        let help = "run the same release on entries and sidecars";
        Error::frame("decoder", format!("{error:?}"), help).into()
    })
}
