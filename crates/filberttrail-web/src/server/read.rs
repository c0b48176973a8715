//! Reads request bodies within a limit, a timeout and a memory budget.

use crate::Problem;
use crate::memory::{Budget, Buffer, Charge, Part, SMALL_BODY};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Time after which a caller may retry a request that was refused because memory is short. Bodies that
/// hold memory for longer give way to the retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A small body that came in one read, with its charge.
struct Small {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Small {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a complete body of at most `limit` bytes within `timeout`. Its memory is charged to a part of the
/// budget until the returned bytes are dropped; `owner` is the team that it belongs to.
///
/// Returns the problem to respond with if the body is too large, too slow or incomplete, or if it gave
/// way to others because memory is short. A body that is announced as too large is not read.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
    budget: &Budget,
    part: Part,
    owner: &str,
) -> Result<Bytes, Problem> {
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    match tokio::time::timeout(timeout, collect(body, limit, budget, part, owner)).await {
        Ok(body) => body,
        Err(_) => {
            let detail = format!("send the whole body within {} ms", timeout.as_millis());
            Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "body too slow", detail))
        }
    }
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    budget: &Budget,
    part: Part,
    owner: &str,
) -> Result<Bytes, Problem> {
    let Some(first) = next_data(&mut body, limit).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() && first.len() <= SMALL_BODY {
        let _charge = budget.charge(part, SMALL_BODY).ok_or_else(crowded)?;
        return Ok(Bytes::from_owner(Small { bytes: first, _charge }));
    }
    let largest = body.size_hint().exact().map_or(limit, |rest| rest as usize + first.len());
    let mut buffer = Buffer::new(budget, part, owner, largest);
    if !buffer.push(&first) {
        return Err(crowded());
    }
    drop(first);
    loop {
        let left = limit - buffer.length();
        let data = tokio::select! {
            biased;
            data = next_data(&mut body, left) => data,
            () = buffer.evicted() => return Err(crowded()),
        };
        match data {
            Ok(Some(data)) if buffer.push(&data) => {}
            Ok(Some(_)) => return Err(crowded()),
            Ok(None) => return buffer.finish().ok_or_else(crowded),
            Err(problem) if problem.status == StatusCode::PAYLOAD_TOO_LARGE.as_u16() => {
                return Err(too_large(limit));
            }
            Err(problem) => return Err(problem),
        }
    }
}

/// Reads the next bytes of a body, or nothing at its end. Fails if they are more than `left`.
async fn next_data(body: &mut Incoming, left: usize) -> Result<Option<Bytes>, Problem> {
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Problem::new(StatusCode::BAD_REQUEST, "body broken off", error))?;
        match frame.into_data() {
            Ok(data) if data.len() > left => return Err(too_large(left)),
            Ok(data) if data.is_empty() => {}
            Ok(data) => return Ok(Some(data)),
            Err(_trailers) => {}
        }
    }
    Ok(None)
}

fn too_large(limit: usize) -> Problem {
    let detail = format!("send at most {limit} bytes");
    Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large", detail)
}

/// Returns the problem to respond with if a body of a request that has not run gave way to others.
pub fn crowded() -> Problem {
    let detail = "memory is short, and this body gave way to others; come back soon";
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "crowded", detail);
    problem.with_retry_after(RETRY_AFTER)
}
