//! Reads response bodies only as fast as there is memory for them.

use crate::attempt::unknown;
use crate::buffer::{Buffer, Push};
use crate::context::Context;
use bytes::Bytes;
use filberttrail_protocol::Cause;
use filberttrail_protocol::frame::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Maximum size of the response body of a request with an idempotency key, in bytes.
const MAX_KEYED_RESPONSE_BYTES: usize = 4 << 20;
/// Interval at which a response that has no memory checks whether there is some. Nothing more is read
/// from the upstream until then.
const MEMORY_WAIT: Duration = Duration::from_millis(10);

/// Reads the whole response body of a request with an idempotency key. Returns `None` if it is too large
/// or breaks off.
pub async fn collect(context: &Context, mut body: Incoming) -> Option<Bytes> {
    let mut holding = context.responses.hold();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.ok()?.into_data() else { continue };
        if bytes.len() + chunk.len() > MAX_KEYED_RESPONSE_BYTES {
            return None;
        }
        while !holding.grow(chunk.len()) {
            tokio::time::sleep(MEMORY_WAIT).await;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes.into())
}

/// Adds a chunk to a response, and waits until there is memory for it.
pub async fn push_chunk(context: &Context, buffer: &Buffer, chunk: Bytes) -> Result<(), Failure> {
    let started_at = context.now();
    loop {
        match buffer.push_chunk(&chunk) {
            Push::Done => return Ok(()),
            Push::NoMemory if context.now() - started_at < context.settings.pause_wait => {
                tokio::time::sleep(MEMORY_WAIT).await;
            }
            Push::NoMemory | Push::TooLarge => return Err(unknown(Cause::CallerSlow)),
        }
    }
}
