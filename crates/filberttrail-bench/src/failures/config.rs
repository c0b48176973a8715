//! Checks that an accepted configuration is in force everywhere within seconds, and never reverts.

use super::context::Context;
use super::report::Promise;
use filberttrail_kernel::{Error, Mechanism, Result};
use filberttrail_stand_in::platform::Faults;
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Limit for the time until a change is in force on all entries.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);

/// Checks changes by concurrent operators, after lost responses and stale reads, and the start of
/// an entry during a platform outage.
pub async fn check_configuration(mut context: Context) -> Result<Promise> {
    let mut promise =
        Promise::new("configuration in force, never reverting", Mechanism::Generations);
    let stop = Arc::new(AtomicBool::new(false));
    let observers: Vec<JoinHandle<Observation>> = context
        .estate
        .admin_addresses
        .iter()
        .map(|admin| tokio::spawn(observe_generation(*admin, stop.clone())))
        .collect();
    check_concurrent_changes(&context, &mut promise).await;
    context.set_faults(&Faults { lose_answers: 1, ..Faults::default() }).await;
    let generation = change_preset(&context.platform, "peak").await?;
    check_in_force(&context, &mut promise, "answer lost", generation).await;
    context.set_faults(&Faults { stale_reads: true, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    context.set_faults(&Faults::default()).await;
    let generation = change_preset(&context.platform, "ordinary").await?;
    check_in_force(&context, &mut promise, "after old reads", generation).await;
    check_start_in_outage(&mut context, &mut promise, generation).await?;
    stop.store(true, Ordering::Relaxed);
    for observer in observers {
        let observation = observer.await.unwrap_or_default();
        promise
            .record_count("looks", observation.polls + promise.counts.get("looks").unwrap_or(&0));
        promise.record_case(observation.reverted);
    }
    context.finish().await;
    Ok(promise)
}

/// Sets the preset under a unique change identifier; returns the generation of the change.
async fn change_preset(platform: &Platform, preset: &str) -> Result<u64> {
    let change = format!("{preset}-{}", fastrand::u64(..));
    let edit = |operation: &mut filberttrail_declare::Operation| {
        operation.preset = preset.to_string();
    };
    Ok(configuration::change_operation(platform, change, edit).await?.0.generation)
}

/// Lets two operators change the preset concurrently: one change succeeds, the other must get a
/// conflict error.
async fn check_concurrent_changes(context: &Context, promise: &mut Promise) {
    for round in 0..10 {
        let (left, right) = (Platform::new(context.estate.platform), &context.platform);
        let names = if round % 2 == 0 { ["peak", "maintenance"] } else { ["ordinary", "peak"] };
        let (one, other) =
            tokio::join!(change_preset(&left, names[0]), change_preset(right, names[1]));
        let is_conflict = |outcome: &Result<u64>| {
            outcome
                .as_ref()
                .is_err_and(|error| matches!(error.current_context(), Error::Conflict(_)))
        };
        let in_force = configuration::read_manifest(&context.platform).await.ok().flatten();
        let preset = in_force.map(|(_, manifest)| manifest.operation.preset).unwrap_or_default();
        let is_consistent = match (&one, &other) {
            (Ok(left), Ok(right)) => left != right || names.contains(&preset.as_str()),
            (Ok(_), _) if is_conflict(&other) => preset == names[0],
            (_, Ok(_)) if is_conflict(&one) => preset == names[1],
            _ => false,
        };
        promise.record_case(
            (!is_consistent)
                .then(|| format!("concurrent changes ended with {one:?}, {other:?}, {preset}")),
        );
    }
}

async fn check_in_force(context: &Context, promise: &mut Promise, label: &str, generation: u64) {
    let started_at = Instant::now();
    let all_entries = async {
        for admin in &context.estate.admin_addresses {
            context.wait_for_generation(*admin, generation).await;
        }
    };
    let result = tokio::time::timeout(IN_FORCE_LIMIT, all_entries).await;
    promise.record_recovery(&format!("in force, {label}"), started_at.elapsed());
    promise.record_case(
        result.is_err().then(|| format!("{label}: not in force within {IN_FORCE_LIMIT:?}")),
    );
}

/// Checks that a restarted entry gets the current generation from the sidecars while the platform
/// is unavailable.
async fn check_start_in_outage(
    context: &mut Context,
    promise: &mut Promise,
    generation: u64,
) -> Result<()> {
    context.set_faults(&Faults { outage: true, ..Faults::default() }).await;
    if let Some(cell) = context.estate.take_entry(0) {
        cell.kill();
    }
    context.estate.start_entry(0)?;
    let elapsed = context.wait_for_generation(context.estate.admin_addresses[0], generation).await;
    promise.record_recovery("fresh entry in an outage", elapsed);
    promise.record_case(
        (elapsed > IN_FORCE_LIMIT).then(|| {
            "a restarted entry did not get the generation in force during an outage".into()
        }),
    );
    context.set_faults(&Faults::default()).await;
    Ok(())
}

#[derive(Default)]
/// What the polls of one entry showed.
struct Observation {
    polls: u64,
    reverted: Option<String>,
}

/// Polls the generation that an entry applies and reports a decrease; a restarted process may start
/// from an older generation.
async fn observe_generation(admin: SocketAddr, stop: Arc<AtomicBool>) -> Observation {
    let client = filberttrail_web::Client::new();
    let mut observation = Observation::default();
    let (mut newest, mut incarnation) = (0, None);
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let request = hyper::Request::get("/status").header("host", "entry");
        let Ok(request) = request.body(filberttrail_web::Body::empty()) else { break };
        let response = client.fetch(admin, request, Duration::from_secs(2), 1 << 20).await;
        let Ok(response) = response else { continue };
        let status: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
        let generation = status["generation"].as_u64().unwrap_or_default();
        observation.polls += 1;
        if incarnation != status["incarnation"].as_u64() {
            // A new process serves this address; it starts without a generation.
            incarnation = status["incarnation"].as_u64();
            newest = 0;
        }
        if generation < newest {
            observation.reverted = Some(format!("{admin} went from {newest} to {generation}"));
        }
        newest = generation;
    }
    observation
}
