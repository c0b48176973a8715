//! Checks that data centres and upstreams out of service get no new requests after a few seconds.

use super::context::Context;
use super::report::Promise;
use filberttrail_kernel::{Mechanism, Result};
use filberttrail_stand_in::platform::Faults;
use filberttrail_store::configuration;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// The time that the promise allows until no new requests arrive.
const ALLOWED_DELAY: Duration = Duration::from_secs(5);
/// How long new requests are counted after that time.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Takes a data centre out of service while watches deliver nothing, and an upstream while the
/// platform is unavailable, and counts new requests on both.
pub async fn check_out_of_service(context: Context) -> Result<Promise> {
    let mut promise = Promise::new("no new work while out of service", Mechanism::Outs);
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = start_load(&context, &stop);
    tokio::time::sleep(Duration::from_millis(500)).await;

    let silent = Faults { silent_watches: true, ..Faults::default() };
    context.set_faults(&silent).await;
    change_operation_state(&context, |operation| {
        operation.data_centres_out.insert("harbour".into());
    })
    .await?;
    check_no_new_requests(&context, &mut promise, "data centre out, watches silent", |name| {
        context
            .estate
            .declarations
            .estate
            .upstreams
            .iter()
            .any(|upstream| upstream.name == name && upstream.data_centre == "harbour")
    })
    .await;
    context.set_faults(&Faults::default()).await;
    change_operation_state(&context, |operation| operation.data_centres_out.clear()).await?;
    wait_for_all_entries(&context).await?;

    // The platform becomes unavailable as soon as one entry has applied the change.
    let generation = change_operation_state(&context, |operation| {
        operation.upstreams_out.insert("engine-05".into());
    })
    .await?;
    context.wait_for_generation(context.estate.admin_addresses[0], generation).await;
    context.set_faults(&Faults { outage: true, ..Faults::default() }).await;
    check_no_new_requests(&context, &mut promise, "upstream out, platform out", |name| {
        name == "engine-05"
    })
    .await;
    context.set_faults(&Faults::default()).await;

    stop.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    context.finish().await;
    Ok(promise)
}

async fn change_operation_state(
    context: &Context,
    edit: impl FnOnce(&mut filberttrail_declare::Operation),
) -> Result<u64> {
    let (manifest, _) =
        configuration::change_operation(&context.platform, "bench".into(), edit).await?;
    Ok(manifest.generation)
}

async fn wait_for_all_entries(context: &Context) -> Result<()> {
    let manifest = configuration::read_manifest(&context.platform).await?;
    let generation = manifest.map_or(0, |(_, manifest)| manifest.generation);
    for admin in &context.estate.admin_addresses {
        context.wait_for_generation(*admin, generation).await;
    }
    Ok(())
}

fn start_load(context: &Context, stop: &Arc<AtomicBool>) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for index in 0..24 {
        let (caller, stop) = (context.caller(), stop.clone());
        let entry = context.estate.caller_addresses[index % context.estate.caller_addresses.len()];
        load.spawn(async move {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let _ = caller.complete(entry, &format!("load {index} {number}"), 5, false).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    load
}

async fn check_no_new_requests(
    context: &Context,
    promise: &mut Promise,
    label: &str,
    is_out: impl Fn(&str) -> bool,
) {
    tokio::time::sleep(ALLOWED_DELAY).await;
    let read_counts = || -> Vec<(String, u64)> {
        let engines = context.estate.engines().iter().filter(|(name, _)| is_out(name));
        engines.map(|(name, engine)| (name.clone(), engine.counts().begun)).collect()
    };
    let before = read_counts();
    tokio::time::sleep(OBSERVATION_TIME).await;
    for ((name, before), (_, after)) in before.into_iter().zip(read_counts()) {
        let new = after - before;
        promise.record_case((new > 0).then(|| format!("{label}: {name} got {new} new requests")));
    }
}
