//! Checks that refused calls did not run, and that calls which must not be repeated run at most
//! once.

use super::context::Context;
use super::report::Promise;
use fastrand::Rng;
use filberttrail_dev::Caller;
use filberttrail_kernel::{Mechanism, Result};
use filberttrail_stand_in::platform::Faults;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Calls of each script.
const CALLS: usize = 400;
/// Concurrent callers.
const CONCURRENT_CALLERS: usize = 24;
/// Path of the calls, which must not be repeated without an idempotency key.
const PAYMENTS_PATH: &str = "/services/counter/payments";

/// The response that a caller got to one call. `ran` is that member of a problem document: `no`,
/// `unknown`, or empty if the call was answered; `status` is 0 without a response.
#[derive(Debug, Clone)]
struct Response {
    key: String,
    request: String,
    status: u16,
    ran: String,
    body: String,
}

/// Sends calls without idempotency keys while services break off connections and sidecars are
/// frozen and killed. Returns the results for refusals and for calls that must run at most once.
pub async fn check_calls_without_keys(mut context: Context) -> Result<(Promise, Promise)> {
    let mut refusals = Promise::new("a refusal 'not run' is true", Mechanism::Ledger);
    let mut single_runs = Promise::new("an unrepeatable call runs at most once", Mechanism::Ledger);
    set_service_faults(&context, r#"{"delay-ms":20,"break-off":12}"#).await;
    let calls = start_calls(&context, |_| None);
    disrupt_sidecars(&mut context, &mut single_runs).await?;
    let mut responses = collect_responses(calls).await;
    // The calls exceed the capacity of all instances, so that some are refused.
    set_service_faults(&context, r#"{"delay-ms":1500}"#).await;
    responses.extend(collect_responses(start_burst(&context)).await);
    // Calls that were frozen may still run; the pause lets them be counted.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let run_counts = read_run_counts(&context);
    for call in &responses {
        let runs = run_counts.get(&format!("payment:{}", call.request)).copied().unwrap_or(0);
        single_runs.record_case((runs > 1).then(|| format!("{} ran {runs} times", call.request)));
        single_runs.unknown += u64::from(call.ran == "unknown");
        if call.ran == "no" {
            let was_run = runs > 0;
            refusals.record_case(was_run.then(|| format!("{} was refused, but ran", call.request)));
        }
    }
    single_runs.record_count(
        "answered",
        responses.iter().filter(|call| call.status == 201).count() as u64,
    );
    refusals.record_count("refused", refusals.cases);
    context.finish().await;
    Ok((refusals, single_runs))
}

/// Sends each idempotency key several times, through random entries, while services, sidecars and
/// the platform fail.
pub async fn check_calls_with_keys(mut context: Context) -> Result<Promise> {
    let mut promise = Promise::new("a keyed call runs at most once", Mechanism::Claims);
    set_service_faults(&context, r#"{"delay-ms":20,"break-off":6}"#).await;
    let started_at = Instant::now();
    let calls = start_calls(&context, |index| Some(format!("key-{}", index / 4)));
    context.set_faults(&Faults { lose_answers: 6, ..Faults::default() }).await;
    disrupt_sidecars(&mut context, &mut promise).await?;
    context.set_faults(&Faults { outage: true, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    context.set_faults(&Faults { slow_ms: 300, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    context.set_faults(&Faults::default()).await;
    let mut responses = collect_responses(calls).await;
    let elapsed = started_at.elapsed();
    restart_all(&mut context, &mut promise).await?;
    // Each key is sent again after every process has been restarted.
    let again = start_calls(&context, |index| Some(format!("key-{}", index / 4)));
    responses.extend(collect_responses(again).await);
    check_keyed_responses(&context, &mut promise, &responses);
    promise.record_count("seconds", elapsed.as_secs());
    promise.unknown = responses.iter().filter(|call| call.ran == "unknown").count() as u64;
    context.finish().await;
    Ok(promise)
}

fn check_keyed_responses(context: &Context, promise: &mut Promise, responses: &[Response]) {
    let run_counts = read_run_counts(context);
    let mut first_bodies: BTreeMap<&str, &str> = BTreeMap::new();
    for call in responses {
        let runs = run_counts.get(&format!("payment:{}", call.key)).copied().unwrap_or(0);
        let mut violation = (runs > 1).then(|| format!("{} ran {runs} times", call.key));
        if call.status == 201 {
            let first_body = first_bodies.entry(&call.key).or_insert(&call.body);
            if *first_body != call.body {
                violation = Some(format!("{} got a different outcome", call.key));
            }
        }
        promise.record_case(violation);
    }
    let answered = responses.iter().filter(|call| call.status == 201).count();
    promise.record_count("answered", answered as u64);
    for call in responses.iter().filter(|call| call.status != 201) {
        let value: serde_json::Value = serde_json::from_str(&call.body).unwrap_or_default();
        let title = value["title"].as_str().unwrap_or("no answer");
        let name = format!("refused, ran {}: {title}", call.ran);
        promise.record_count(&name, promise.counts.get(&name).unwrap_or(&0) + 1);
    }
    promise.record_count("keys run", run_counts.len() as u64);
}

async fn set_service_faults(context: &Context, faults: &str) {
    if let Some(address) = context.estate.upstream_address("counter-0") {
        context.put_body(address, "/control/faults", faults.as_bytes().to_vec()).await;
    }
}

fn read_run_counts(context: &Context) -> BTreeMap<String, u64> {
    context.estate.service("counter").map(|service| service.actions()).unwrap_or_default()
}

fn start_calls(context: &Context, key: impl Fn(usize) -> Option<String>) -> JoinSet<Vec<Response>> {
    let mut calls = JoinSet::new();
    for worker in 0..CONCURRENT_CALLERS {
        let caller = context.caller();
        let entries = context.estate.caller_addresses.clone();
        let mut random = Rng::with_seed(context.seed ^ (worker as u64) << 32);
        let numbers = (worker..CALLS).step_by(CONCURRENT_CALLERS);
        let assigned: Vec<(usize, Option<String>)> =
            numbers.map(|number| (number, key(number))).collect();
        calls.spawn(async move {
            let mut responses = Vec::new();
            for (number, key) in assigned {
                let entry = entries[random.usize(0..entries.len())];
                responses.push(send_payment(&caller, entry, number, key).await);
                tokio::time::sleep(Duration::from_millis(random.u64(20..200))).await;
            }
            responses
        });
    }
    calls
}

/// Sends one call from each of many concurrent callers.
fn start_burst(context: &Context) -> JoinSet<Vec<Response>> {
    let mut calls = JoinSet::new();
    for number in 0..CALLS / 2 {
        let caller = context.caller();
        let entry = context.estate.caller_addresses[number % context.estate.caller_addresses.len()];
        calls.spawn(async move { vec![send_payment(&caller, entry, number, None).await] });
    }
    calls
}

async fn send_payment(
    caller: &Caller,
    entry: SocketAddr,
    number: usize,
    key: Option<String>,
) -> Response {
    let body = format!("{{\"amount\":{}}}", number / 4);
    let response = caller.call_service(entry, PAYMENTS_PATH, key.as_deref(), &body).await;
    let key = key.unwrap_or_default();
    let Ok(response) = response else {
        let (request, body) = (String::new(), String::new());
        return Response { key, request, status: 0, ran: "unknown".into(), body };
    };
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let header = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let request = header.or(value["request"].as_str()).unwrap_or_default().to_string();
    let ran = value["ran"].as_str().unwrap_or_default().to_string();
    Response { key, request, status: response.status().as_u16(), ran, body: text }
}

async fn collect_responses(mut calls: JoinSet<Vec<Response>>) -> Vec<Response> {
    let mut responses = Vec::new();
    while let Some(batch) = calls.join_next().await {
        responses.extend(batch.unwrap_or_default());
    }
    responses
}

/// Freezes one sidecar for longer than the timeout of a silent connection, and kills another.
async fn disrupt_sidecars(context: &mut Context, promise: &mut Promise) -> Result<()> {
    tokio::time::sleep(Duration::from_millis(400)).await;
    let freeze_guard = context.estate.freeze_sidecar("counter-0", Duration::from_secs(6));
    tokio::time::sleep(Duration::from_millis(300)).await;
    if let Some(cell) = context.estate.take_sidecar("counter-1") {
        cell.kill();
        context.estate.start_sidecar("counter-1")?;
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    drop(freeze_guard);
    let address = context.estate.upstream_address("counter-1");
    let elapsed =
        context.wait_until(|| async { address.is_some() && is_available(context).await }).await;
    promise.record_recovery("sidecar killed", elapsed);
    Ok(())
}

async fn is_available(context: &Context) -> bool {
    let caller = context.caller();
    let request = caller.request("GET", "/services/counter/meters/1", &[], "");
    let response =
        caller.call(context.estate.caller_addresses[0], request, Duration::from_secs(5)).await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Kills all entries and sidecars, then restarts them, and counts the platform reads of the
/// restart.
async fn restart_all(context: &mut Context, promise: &mut Promise) -> Result<()> {
    let names: Vec<String> =
        context.estate.declarations.estate.upstreams.iter().map(|item| item.name.clone()).collect();
    for name in &names {
        if let Some(cell) = context.estate.take_sidecar(name) {
            cell.kill();
        }
    }
    for index in 0..context.estate.caller_addresses.len() {
        if let Some(cell) = context.estate.take_entry(index) {
            cell.kill();
        }
    }
    let before = count_platform_reads(context).await;
    let started_at = Instant::now();
    for name in &names {
        context.estate.start_sidecar(name)?;
    }
    for index in 0..context.estate.caller_addresses.len() {
        context.estate.start_entry(index)?;
    }
    context.estate.wait_until_ready().await?;
    promise.record_recovery("everything restarted", started_at.elapsed());
    promise.record_count("platform reads to restart", count_platform_reads(context).await - before);
    Ok(())
}

async fn count_platform_reads(context: &Context) -> u64 {
    let counts: Option<serde_json::Value> =
        context.get_json(context.estate.platform, "/control/counts").await;
    counts.and_then(|counts| counts["reads"].as_u64()).unwrap_or_default()
}
