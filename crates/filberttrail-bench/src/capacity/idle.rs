//! Measures the processor time and platform calls of an idle deployment, and the throughput of
//! keyed calls at several levels of concurrency.

use super::Row;
use crate::relay::processor::Spent;
use filberttrail_declare::sample;
use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_kernel::Result;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Keyed calls that each caller sends.
const CALLS: usize = 30;
/// How long the deployment is observed for each number of entries.
const WATCHED: Duration = Duration::from_secs(4);

/// Measures a deployment with three, two and one of its entries running.
pub async fn measure() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    let mut estate = Estate::start(Options::default()).await?;
    tokio::time::sleep(Duration::from_secs(8)).await;
    let sidecars = sample::ENGINES + sample::SERVICES.len() * sample::INSTANCES;
    for at_once in [4, 16, 64] {
        claims(&estate, at_once, &mut rows).await;
    }
    for entries in [3_usize, 2, 1] {
        let names = ["entry-", "engine-", "counter-", "control-", "platform"];
        let before = Spent::read(&names);
        let calls = counts(&estate).await;
        tokio::time::sleep(WATCHED).await;
        let spent = Spent::read(&names).since(&before);
        let calls = counts(&estate).await - calls;
        let percent = |time: Duration, nodes: usize| {
            100.0 * time.as_secs_f64() / WATCHED.as_secs_f64() / nodes as f64
        };
        let entry = percent(spent.by_prefix("entry-"), entries);
        let sidecar = percent(spent.by_prefix("engine-"), sample::ENGINES);
        let service = percent(spent.by_prefix("counter-"), sample::INSTANCES);
        rows.push(Row::new("idle entry, entries in the estate", entries, entry, "% of a core"));
        rows.push(Row::new("idle engine sidecar, entries", entries, sidecar, "% of a core"));
        rows.push(Row::new("idle service sidecar, entries", entries, service, "% of a core"));
        let each = calls / WATCHED.as_secs_f64();
        rows.push(Row::new("platform calls a second, entries", entries, each, "calls/s"));
        if let Some(cell) = estate.entry(entries - 1) {
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
async fn claims(estate: &Estate, at_once: usize, rows: &mut Vec<Row>) {
    let before = count(estate, &["writes"]).await;
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for worker in 0..at_once {
        let entry = estate.callers[worker % estate.callers.len()];
        callers.spawn(async move {
            let caller = Caller::new(sample::team_key(0));
            let mut answered = 0;
            for number in 0..CALLS {
                let key = format!("capacity-{at_once}-{worker}-{number}");
                let answer =
                    caller.act(entry, "/services/counter/payments", Some(&key), "{}").await;
                answered += u64::from(answer.is_ok_and(|answer| answer.status() == 201));
            }
            answered
        });
    }
    let mut answered = 0;
    while let Some(some) = callers.join_next().await {
        answered += some.unwrap_or(0);
    }
    let seconds = began.elapsed().as_secs_f64();
    let writes = count(estate, &["writes"]).await - before;
    let claims = answered as f64 / seconds;
    rows.push(Row::new("keyed calls answered, callers", at_once, claims, "calls/s"));
    rows.push(Row::new(
        "platform writes meanwhile, callers",
        at_once,
        writes / seconds,
        "writes/s",
    ));
}

async fn counts(estate: &Estate) -> f64 {
    count(estate, &["reads", "writes"]).await
}

async fn count(estate: &Estate, names: &[&str]) -> f64 {
    let client = filberttrail_web::Client::new();
    let request = hyper::Request::get("/control/counts").header("host", "platform");
    let Ok(request) = request.body(filberttrail_web::Body::empty()) else { return 0.0 };
    let answer = client.fetch(estate.platform, request, Duration::from_secs(2), 65_536).await;
    let Ok(answer) = answer else { return 0.0 };
    let counts: serde_json::Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let number = |name: &str| counts[name].as_f64().unwrap_or_default();
    names.iter().map(|name| number(name)).sum()
}
