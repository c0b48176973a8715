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
const IN_FORCE: Duration = Duration::from_secs(19);

/// Checks changes by concurrent operators, after lost responses and stale reads, and the start of
/// an entry during a platform outage.
pub async fn never_reverts(mut context: Context) -> Result<Promise> {
    let mut promise =
        Promise::new("configuration in force, never reverting", Mechanism::Generations);
    let stop = Arc::new(AtomicBool::new(false));
    let observers: Vec<JoinHandle<Observed>> = context
        .estate
        .admins
        .iter()
        .map(|admin| tokio::spawn(observe(*admin, stop.clone())))
        .collect();
    race(&context, &mut promise).await;
    context.set_faults(&Faults { lose_answers: 1, ..Faults::default() }).await;
    let generation = use_preset(&context.platform, "peak").await?;
    wait_in_force(&context, &mut promise, "answer lost", generation).await;
    context.set_faults(&Faults { stale_reads: true, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    context.set_faults(&Faults::default()).await;
    let generation = use_preset(&context.platform, "ordinary").await?;
    wait_in_force(&context, &mut promise, "after old reads", generation).await;
    start_in_outage(&mut context, &mut promise, generation).await?;
    stop.store(true, Ordering::Relaxed);
    for observer in observers {
        let observed = observer.await.unwrap_or_default();
        promise.record_count("looks", observed.looks + promise.counts.get("looks").unwrap_or(&0));
        promise.record_case(observed.reverted);
    }
    context.finish().await;
    Ok(promise)
}

async fn use_preset(platform: &Platform, preset: &str) -> Result<u64> {
    let change = format!("{preset}-{}", fastrand::u64(..));
    let edit = |operation: &mut filberttrail_declare::Operation| {
        operation.preset = preset.to_string();
    };
    Ok(configuration::change_operation(platform, change, edit).await?.0.generation)
}

/// Lets two operators change the preset concurrently: one change succeeds, the other must get a
/// conflict error.
async fn race(context: &Context, promise: &mut Promise) {
    for round in 0..10 {
        let (left, right) = (Platform::new(context.estate.platform), &context.platform);
        let names = if round % 2 == 0 { ["peak", "maintenance"] } else { ["ordinary", "peak"] };
        let (one, other) = tokio::join!(use_preset(&left, names[0]), use_preset(right, names[1]));
        let lost = |outcome: &Result<u64>| {
            outcome
                .as_ref()
                .is_err_and(|fault| matches!(fault.current_context(), Error::Conflict(_)))
        };
        let in_force = configuration::read_manifest(&context.platform).await.ok().flatten();
        let preset = in_force.map(|(_, manifest)| manifest.operation.preset).unwrap_or_default();
        let fine = match (&one, &other) {
            (Ok(left), Ok(right)) => left != right || names.contains(&preset.as_str()),
            (Ok(_), _) if lost(&other) => preset == names[0],
            (_, Ok(_)) if lost(&one) => preset == names[1],
            _ => false,
        };
        promise.record_case(
            (!fine).then(|| format!("a race ended with {one:?}, {other:?}, {preset}")),
        );
    }
}

async fn wait_in_force(context: &Context, promise: &mut Promise, what: &str, generation: u64) {
    let began = Instant::now();
    let everywhere = async {
        for admin in &context.estate.admins {
            context.wait_for_generation(*admin, generation).await;
        }
    };
    let reached = tokio::time::timeout(IN_FORCE, everywhere).await;
    promise.record_recovery(&format!("in force, {what}"), began.elapsed());
    promise
        .record_case(reached.is_err().then(|| format!("{what}: not in force within {IN_FORCE:?}")));
}

/// Checks that a restarted entry gets the current generation from the sidecars while the platform
/// is unavailable.
async fn start_in_outage(
    context: &mut Context,
    promise: &mut Promise,
    generation: u64,
) -> Result<()> {
    context.set_faults(&Faults { outage: true, ..Faults::default() }).await;
    if let Some(cell) = context.estate.entry(0) {
        cell.kill();
    }
    context.estate.start_entry(0)?;
    let took = context.wait_for_generation(context.estate.admins[0], generation).await;
    promise.record_recovery("fresh entry in an outage", took);
    promise
        .record_case((took > IN_FORCE).then(|| "a fresh entry learnt nothing in an outage".into()));
    context.set_faults(&Faults::default()).await;
    Ok(())
}

#[derive(Default)]
struct Observed {
    looks: u64,
    reverted: Option<String>,
}

/// Polls the generation that an entry applies and reports a decrease; a restarted process may start
/// from an older generation.
async fn observe(admin: SocketAddr, stop: Arc<AtomicBool>) -> Observed {
    let client = filberttrail_web::Client::new();
    let mut observed = Observed::default();
    let (mut newest, mut life) = (0, None);
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let request = hyper::Request::get("/status").header("host", "entry");
        let Ok(request) = request.body(filberttrail_web::Body::empty()) else { break };
        let answer = client.fetch(admin, request, Duration::from_secs(2), 1 << 20).await;
        let Ok(answer) = answer else { continue };
        let status: serde_json::Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let generation = status["generation"].as_u64().unwrap_or_default();
        observed.looks += 1;
        if life != status["incarnation"].as_u64() {
            // A new process serves this address; it starts without a generation.
            life = status["incarnation"].as_u64();
            newest = 0;
        }
        if generation < newest {
            observed.reverted = Some(format!("{admin} went from {newest} to {generation}"));
        }
        newest = generation;
    }
    observed
}
