//! Measures what a crowd that sends bodies in chunks of one byte costs an ordinary caller.

mod flood;
mod load;
mod row;

pub use load::Load;
pub use row::Row;

use crate::relay::processor;
use filberttrail_declare::sample;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::{Error, Result};
use flood::Flood;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;

/// Interval of the ordinary requests. Long enough that an entry without a crowd is mostly idle.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Time from the start of the crowd to the first measured request, in which its connections open.
const CROWD_LEAD: Duration = Duration::from_millis(500);
/// Timeout of an ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests before the measurement, which open connections and fill caches.
const WARM_UP_REQUESTS: usize = 50;
/// Prefix of the names of the entries' threads.
const ENTRY_THREADS: &str = "entry-";

/// The result of the measurement.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// One row without the crowd and one with it.
    pub rows: Vec<Row>,
}

/// Measures ordinary requests to an entry, first alone and then beside the crowd, in one process.
pub async fn run(load: Load) -> Result<Outcome> {
    let estate = Estate::start(Options::default()).await?;
    let entry = estate.caller_addresses[0];
    let caller = Caller::new(sample::team_key(0));
    for _ in 0..WARM_UP_REQUESTS {
        let _ = send(&caller, entry).await;
    }
    let alone = measure(&caller, entry, load.requests, None).await;
    let flood = Flood::start(entry, load).map_err(|error| {
        Error::system("the crowd", error, "allow the process more threads and descriptors")
    })?;
    tokio::time::sleep(CROWD_LEAD).await;
    let crowded = measure(&caller, entry, load.requests, Some(&flood)).await;
    let stopping = tokio::task::spawn_blocking(move || {
        flood.stop();
        estate.stop();
    });
    let _ = stopping.await;
    Ok(Outcome { rows: vec![alone, crowded] })
}

/// Sends one ordinary request to a service that responds at once; returns whether it succeeded.
async fn send(caller: &Caller, entry: SocketAddr) -> bool {
    let request = caller.request("GET", "/services/counter/meters/1", &[], "");
    let response = caller.call(entry, request, REQUEST_TIMEOUT).await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn measure(
    caller: &Caller,
    entry: SocketAddr,
    requests: usize,
    flood: Option<&Flood>,
) -> Row {
    let count_chunks = || flood.map_or(0, Flood::count_chunks);
    let (chunks_before, usage_before) = (count_chunks(), processor::Usage::read(&[ENTRY_THREADS]));
    let started_at = Instant::now();
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    // A burst after a slow response would measure the requests' own queue.
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut times = Vec::with_capacity(requests);
    for _ in 0..requests {
        interval.tick().await;
        let sent_at = Instant::now();
        if send(caller, entry).await {
            times.push(sent_at.elapsed());
        }
    }
    let usage = processor::Usage::read(&[ENTRY_THREADS]).since(&usage_before);
    Row::new(
        flood.map_or(0, Flood::connections),
        requests,
        times,
        usage.sum_by_prefix(ENTRY_THREADS),
        (count_chunks() - chunks_before) as f64 / started_at.elapsed().as_secs_f64(),
    )
}
