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
const AT_ONCE: usize = 24;
const PAYMENTS: &str = "/services/counter/payments";

/// The response that a caller got to one call.
#[derive(Debug, Clone)]
struct Told {
    key: String,
    request: String,
    status: u16,
    ran: String,
    body: String,
}

/// Sends calls without idempotency keys while services break off connections and sidecars are
/// frozen and killed. Returns the results for refusals and for calls that must run at most once.
pub async fn without_keys(mut context: Context) -> Result<(Promise, Promise)> {
    let mut refusals = Promise::new("a refusal 'not run' is true", Mechanism::Ledger);
    let mut single = Promise::new("an unrepeatable call runs at most once", Mechanism::Ledger);
    set_service_faults(&context, r#"{"delay-ms":20,"break-off":12}"#).await;
    let calls = start_calls(&context, |_| None);
    break_sidecars(&mut context, &mut single).await?;
    let mut told = join(calls).await;
    // The calls exceed the capacity of all instances, so that some are refused.
    set_service_faults(&context, r#"{"delay-ms":1500}"#).await;
    told.extend(join(burst(&context)).await);
    // Calls that were frozen may still run; the pause lets them be counted.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let ran = actions(&context);
    for call in &told {
        let runs = ran.get(&format!("payment:{}", call.request)).copied().unwrap_or(0);
        single.record_case((runs > 1).then(|| format!("{} ran {runs} times", call.request)));
        single.unknown += u64::from(call.ran == "unknown");
        if call.ran == "no" {
            let lie = runs > 0;
            refusals.record_case(lie.then(|| format!("{} was refused, but ran", call.request)));
        }
    }
    single.record_count("answered", told.iter().filter(|call| call.status == 201).count() as u64);
    refusals.record_count("refused", refusals.cases);
    context.finish().await;
    Ok((refusals, single))
}

/// Sends each idempotency key several times, through random entries, while services, sidecars and
/// the platform fail.
pub async fn with_keys(mut context: Context) -> Result<Promise> {
    let mut promise = Promise::new("a keyed call runs at most once", Mechanism::Claims);
    set_service_faults(&context, r#"{"delay-ms":20,"break-off":6}"#).await;
    let began = Instant::now();
    let calls = start_calls(&context, |index| Some(format!("key-{}", index / 4)));
    context.set_faults(&Faults { lose_answers: 6, ..Faults::default() }).await;
    break_sidecars(&mut context, &mut promise).await?;
    context.set_faults(&Faults { outage: true, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    context.set_faults(&Faults { slow_ms: 300, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    context.set_faults(&Faults::default()).await;
    let mut told = join(calls).await;
    let elapsed = began.elapsed();
    restart_everything(&mut context, &mut promise).await?;
    // Each key is sent again after every process has been restarted.
    let again = start_calls(&context, |index| Some(format!("key-{}", index / 4)));
    told.extend(join(again).await);
    judge_keys(&context, &mut promise, &told);
    promise.record_count("seconds", elapsed.as_secs());
    promise.unknown = told.iter().filter(|call| call.ran == "unknown").count() as u64;
    context.finish().await;
    Ok(promise)
}

fn judge_keys(context: &Context, promise: &mut Promise, told: &[Told]) {
    let ran = actions(context);
    let mut answers: BTreeMap<&str, &str> = BTreeMap::new();
    for call in told {
        let runs = ran.get(&format!("payment:{}", call.key)).copied().unwrap_or(0);
        let mut broken = (runs > 1).then(|| format!("{} ran {runs} times", call.key));
        if call.status == 201 {
            let first = answers.entry(&call.key).or_insert(&call.body);
            if *first != call.body {
                broken = Some(format!("{} got another outcome", call.key));
            }
        }
        promise.record_case(broken);
    }
    let answered = told.iter().filter(|call| call.status == 201).count();
    promise.record_count("answered", answered as u64);
    for call in told.iter().filter(|call| call.status != 201) {
        let value: serde_json::Value = serde_json::from_str(&call.body).unwrap_or_default();
        let title = value["title"].as_str().unwrap_or("no answer");
        let what = format!("refused, ran {}: {title}", call.ran);
        promise.record_count(&what, promise.counts.get(&what).unwrap_or(&0) + 1);
    }
    promise.record_count("keys run", ran.len() as u64);
}

async fn set_service_faults(context: &Context, faults: &str) {
    if let Some(address) = context.estate.upstream_address("counter-0") {
        context.put(address, "/control/faults", faults.as_bytes().to_vec()).await;
    }
}

fn actions(context: &Context) -> BTreeMap<String, u64> {
    context.estate.service("counter").map(|service| service.actions()).unwrap_or_default()
}

fn start_calls(context: &Context, key: impl Fn(usize) -> Option<String>) -> JoinSet<Vec<Told>> {
    let mut calls = JoinSet::new();
    for worker in 0..AT_ONCE {
        let caller = context.caller();
        let entries = context.estate.callers.clone();
        let mut random = Rng::with_seed(context.seed ^ (worker as u64) << 32);
        let numbers = (worker..CALLS).step_by(AT_ONCE);
        let mine: Vec<(usize, Option<String>)> =
            numbers.map(|number| (number, key(number))).collect();
        calls.spawn(async move {
            let mut told = Vec::new();
            for (number, key) in mine {
                let entry = entries[random.usize(0..entries.len())];
                told.push(pay(&caller, entry, number, key).await);
                tokio::time::sleep(Duration::from_millis(random.u64(20..200))).await;
            }
            told
        });
    }
    calls
}

/// Sends one call from each of many concurrent callers.
fn burst(context: &Context) -> JoinSet<Vec<Told>> {
    let mut calls = JoinSet::new();
    for number in 0..CALLS / 2 {
        let caller = context.caller();
        let entry = context.estate.callers[number % context.estate.callers.len()];
        calls.spawn(async move { vec![pay(&caller, entry, number, None).await] });
    }
    calls
}

async fn pay(caller: &Caller, entry: SocketAddr, number: usize, key: Option<String>) -> Told {
    let body = format!("{{\"amount\":{}}}", number / 4);
    let answer = caller.act(entry, PAYMENTS, key.as_deref(), &body).await;
    let key = key.unwrap_or_default();
    let Ok(answer) = answer else {
        let (request, body) = (String::new(), String::new());
        return Told { key, request, status: 0, ran: "unknown".into(), body };
    };
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let header = answer.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let request = header.or(value["request"].as_str()).unwrap_or_default().to_string();
    let ran = value["ran"].as_str().unwrap_or_default().to_string();
    Told { key, request, status: answer.status().as_u16(), ran, body: text }
}

async fn join(mut calls: JoinSet<Vec<Told>>) -> Vec<Told> {
    let mut told = Vec::new();
    while let Some(some) = calls.join_next().await {
        told.extend(some.unwrap_or_default());
    }
    told
}

/// Freezes one sidecar for longer than the timeout of a silent connection, and kills another.
async fn break_sidecars(context: &mut Context, promise: &mut Promise) -> Result<()> {
    tokio::time::sleep(Duration::from_millis(400)).await;
    let thaw = context.estate.freeze_sidecar("counter-0", Duration::from_secs(6));
    tokio::time::sleep(Duration::from_millis(300)).await;
    if let Some(cell) = context.estate.sidecar("counter-1") {
        cell.kill();
        context.estate.start_sidecar("counter-1")?;
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    drop(thaw);
    let address = context.estate.upstream_address("counter-1");
    let took = context.wait(|| async { address.is_some() && is_served(context).await }).await;
    promise.record_recovery("sidecar killed", took);
    Ok(())
}

async fn is_served(context: &Context) -> bool {
    let caller = context.caller();
    let request = caller.request("GET", "/services/counter/meters/1", &[], "");
    let answer = caller.call(context.estate.callers[0], request, Duration::from_secs(5)).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Kills all entries and sidecars, then restarts them, and counts the platform reads of the
/// restart.
async fn restart_everything(context: &mut Context, promise: &mut Promise) -> Result<()> {
    let names: Vec<String> =
        context.estate.declarations.estate.upstreams.iter().map(|item| item.name.clone()).collect();
    for name in &names {
        if let Some(cell) = context.estate.sidecar(name) {
            cell.kill();
        }
    }
    for index in 0..context.estate.callers.len() {
        if let Some(cell) = context.estate.entry(index) {
            cell.kill();
        }
    }
    let before = platform_reads(context).await;
    let began = Instant::now();
    for name in &names {
        context.estate.start_sidecar(name)?;
    }
    for index in 0..context.estate.callers.len() {
        context.estate.start_entry(index)?;
    }
    context.estate.wait_until_ready().await?;
    promise.record_recovery("everything restarted", began.elapsed());
    promise.record_count("platform reads to restart", platform_reads(context).await - before);
    Ok(())
}

async fn platform_reads(context: &Context) -> u64 {
    let counts: Option<serde_json::Value> =
        context.get(context.estate.platform, "/control/counts").await;
    counts.and_then(|counts| counts["reads"].as_u64()).unwrap_or_default()
}
