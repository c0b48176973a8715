//! Measures the processor time and platform calls of an idle deployment, and the throughput of
//! keyed calls at several levels of concurrency.

use super::Row;
use crate::relay::processor::Usage;
use filberttrail_declare::sample;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::Result;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Keyed calls that each caller sends.
const CALLS_PER_CALLER: usize = 30;
/// How long the deployment is observed for each number of entries.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Measures a deployment with three, two and one of its entries running.
pub async fn measure() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    let mut estate = Estate::start(Options::default()).await?;
    tokio::time::sleep(Duration::from_secs(8)).await;
    let sidecars = sample::ENGINES + sample::SERVICES.len() * sample::INSTANCES;
    for concurrency in [4, 16, 64] {
        measure_keyed_calls(&estate, concurrency, &mut rows).await;
    }
    for entries in [3_usize, 2, 1] {
        let prefixes = ["entry-", "engine-", "counter-", "control-", "platform"];
        let before = Usage::read(&prefixes);
        let calls = count_platform_calls(&estate).await;
        tokio::time::sleep(OBSERVATION_TIME).await;
        let usage = Usage::read(&prefixes).since(&before);
        let calls = count_platform_calls(&estate).await - calls;
        let percent = |time: Duration, processes: usize| {
            100.0 * time.as_secs_f64() / OBSERVATION_TIME.as_secs_f64() / processes as f64
        };
        let entry = percent(usage.sum_by_prefix("entry-"), entries);
        let sidecar = percent(usage.sum_by_prefix("engine-"), sample::ENGINES);
        let service = percent(usage.sum_by_prefix("counter-"), sample::INSTANCES);
        rows.push(Row::new("idle entry, entries in the estate", entries, entry, "% of a core"));
        rows.push(Row::new("idle engine sidecar, entries", entries, sidecar, "% of a core"));
        rows.push(Row::new("idle service sidecar, entries", entries, service, "% of a core"));
        let calls_per_second = calls / OBSERVATION_TIME.as_secs_f64();
        rows.push(Row::new(
            "platform calls a second, entries",
            entries,
            calls_per_second,
            "calls/s",
        ));
        if let Some(cell) = estate.take_entry(entries - 1) {
            let _ = tokio::task::spawn_blocking(move || cell.kill()).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    rows.push(Row::new("sidecars in the estate", sidecars, sidecars as f64, "sidecars"));
    let _ = tokio::task::spawn_blocking(move || estate.stop()).await;
    Ok(rows)
}

/// Sends keyed calls from `at_once` concurrent callers, and records the rates of answered calls and
/// of platform writes.
async fn measure_keyed_calls(estate: &Estate, concurrency: usize, rows: &mut Vec<Row>) {
    let before = sum_platform_counters(estate, &["writes"]).await;
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    for worker in 0..concurrency {
        let entry = estate.caller_addresses[worker % estate.caller_addresses.len()];
        callers.spawn(async move {
            let caller = Caller::new(sample::team_key(0));
            let mut answered = 0;
            for number in 0..CALLS_PER_CALLER {
                let key = format!("capacity-{concurrency}-{worker}-{number}");
                let response = caller
                    .call_service(entry, "/services/counter/payments", Some(&key), "{}")
                    .await;
                answered += u64::from(response.is_ok_and(|response| response.status() == 201));
            }
            answered
        });
    }
    let mut answered = 0;
    while let Some(count) = callers.join_next().await {
        answered += count.unwrap_or(0);
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let writes = sum_platform_counters(estate, &["writes"]).await - before;
    let calls_per_second = answered as f64 / seconds;
    rows.push(Row::new("keyed calls answered, callers", concurrency, calls_per_second, "calls/s"));
    rows.push(Row::new(
        "platform writes meanwhile, callers",
        concurrency,
        writes / seconds,
        "writes/s",
    ));
}

async fn count_platform_calls(estate: &Estate) -> f64 {
    sum_platform_counters(estate, &["reads", "writes"]).await
}

async fn sum_platform_counters(estate: &Estate, names: &[&str]) -> f64 {
    let client = filberttrail_web::Client::new();
    let request = hyper::Request::get("/control/counts").header("host", "platform");
    let Ok(request) = request.body(filberttrail_web::Body::empty()) else { return 0.0 };
    let response = client.fetch(estate.platform, request, Duration::from_secs(2), 65_536).await;
    let Ok(response) = response else { return 0.0 };
    let counters: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let number = |name: &str| counters[name].as_f64().unwrap_or_default();
    names.iter().map(|name| number(name)).sum()
}
