//! Reads the bodies of requests into a shared memory.

use crate::{Holding, Memory};
use bytes::Bytes;
use filberttrail_web::Problem;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use std::time::Duration;

/// Capacity of the buffer of a body whose first bytes have arrived.
const FIRST_CAPACITY: usize = 4_096;
/// How long the rest of a refused body is read and discarded, so that the response reaches a client
/// that is still sending. Closing the connection at once would reset it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The suggested delay before a retry, when the memory for bodies is in use.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A body in one buffer, with the memory that it holds.
struct Body {
    buffer: Vec<u8>,
    holding: Holding,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl Body {
    /// Appends a chunk; returns `false` if there is no memory for it. The buffer doubles its
    /// capacity, so that small chunks cost no more than their bytes.
    fn append(&mut self, chunk: &[u8], limit: usize) -> bool {
        let needed = self.buffer.len() + chunk.len();
        if needed > self.buffer.capacity() {
            let doubled = (2 * self.buffer.capacity()).max(FIRST_CAPACITY).min(limit).max(needed);
            if !self.holding.grow(doubled - self.buffer.capacity()) {
                return false;
            }
            self.buffer.reserve_exact(doubled - self.buffer.len());
        }
        self.buffer.extend_from_slice(chunk);
        true
    }
}

/// Reads a complete body of at most `limit` bytes within `timeout`. The memory is held until the
/// returned bytes are dropped.
///
/// Returns the problem to respond with if the body is too large, too slow or incomplete, or if
/// there is no memory for it. A body that is announced as too large is not read.
pub async fn read(
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
    memory: &Memory,
) -> Result<Bytes, Problem> {
    let read = tokio::time::timeout(timeout, collect(&mut body, limit, memory)).await;
    let problem = match read {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(problem)) => problem,
        Err(_) => {
            let detail = format!("send the whole body within {} ms", timeout.as_millis());
            return Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "body too slow", detail));
        }
    };
    discard(&mut body, limit).await;
    Err(problem)
}

async fn collect(body: &mut Incoming, limit: usize, memory: &Memory) -> Result<Bytes, Problem> {
    let too_large = || {
        let detail = format!("send at most {limit} bytes");
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large", detail)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut read = Body { buffer: Vec::new(), holding: memory.hold() };
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Problem::new(StatusCode::BAD_REQUEST, "body broken off", error))?;
        let Ok(chunk) = frame.into_data() else { continue };
        if read.buffer.len() + chunk.len() > limit {
            return Err(too_large());
        }
        if !read.append(&chunk, limit) {
            let detail = "the memory for request bodies is in use: come back later";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let problem = Problem::new(status, "no memory for the body", detail);
            return Err(problem.with_retry_after(RETRY_AFTER));
        }
    }
    Ok(Bytes::from_owner(read))
}

/// Reads and drops at most `limit` more bytes.
async fn discard(body: &mut Incoming, limit: usize) {
    let reading = async {
        let mut discarded = 0;
        while discarded <= limit
            && let Some(Ok(frame)) = body.frame().await
        {
            discarded += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}
