//! The memory budget of a gateway, and the response bodies of upstreams that are read within it.

use crate::exchange::Failed;
use bytes::Bytes;
use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use filberttrail_web::Body;
use filberttrail_web::memory::{Budget, Buffer, Charge, Part, SMALL_BODY, Sizes};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use serde_json::json;

/// Maximum size of one body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// A small body with its charge.
struct Small {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Small {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Creates the budget of a process with this memory.
pub fn create_budget(bytes: usize, clock: clock::Shared, journal: Journal) -> Budget {
    Budget::new(Sizes::with_memory(bytes), clock).with_log(move |event| {
        let fields = json!({
            "part": event.part.name(), "used": event.used, "size": event.size,
            "bodies": event.report.bodies, "largest_teams": event.report.largest,
            "over": event.denied.is_some(), "denied": event.denied,
        });
        journal.record(Priority::Important, "crowded", fields);
    })
}

/// Reads a complete response body for a caller of a team. It stays charged until the caller has taken it.
/// A large one may give way to others before; then the caller's connection is closed.
pub async fn read_response(
    budget: &Budget,
    mut body: Incoming,
    team: &str,
) -> Result<Body, Failed> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > BODY_LIMIT as u64) {
        return Err(too_large());
    }
    let Some(first) = next_data(&mut body).await? else { return Ok(Body::empty()) };
    if body.is_end_stream() && first.len() <= SMALL_BODY {
        // Copied, as the bytes would keep the whole read buffer of the upstream's connection.
        let bytes = first.to_vec();
        let charge = budget.charge(Part::Responses, bytes.len());
        let _charge = charge.ok_or_else(crowded)?;
        return Ok(Body::new(Bytes::from_owner(Small { bytes, _charge })));
    }
    let largest = announced.map_or(BODY_LIMIT, |length| length as usize);
    let mut buffer = Buffer::new(budget, Part::Responses, team, largest);
    if !buffer.push(&first) {
        return Err(crowded());
    }
    drop(first);
    loop {
        let data = tokio::select! {
            biased;
            data = next_data(&mut body) => data?,
            () = buffer.evicted() => return Err(crowded()),
        };
        let Some(data) = data else { break };
        if buffer.length() + data.len() > BODY_LIMIT {
            return Err(too_large());
        }
        if !buffer.push(&data) {
            return Err(crowded());
        }
    }
    let (bytes, hold) = buffer.finish_evictable().ok_or_else(crowded)?;
    Ok(Body::Held(Some(bytes), hold))
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Failed> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failed::from_connection(&error))?;
        match frame.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            _ => {}
        }
    }
    Ok(None)
}

fn too_large() -> Failed {
    Failed::Unusable(format!("the body exceeds {BODY_LIMIT} bytes"))
}

fn crowded() -> Failed {
    Failed::Unusable("memory for response bodies is short".to_string())
}
