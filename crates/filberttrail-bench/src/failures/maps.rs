//! Checks that all ranks of a group run each step with the same expert map.

use super::context::Context;
use super::report::Promise;
use filberttrail_kernel::{Mechanism, Result};
use filberttrail_stand_in::engine::Step;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The engines of the group under test.
const GROUP: [&str; 4] = ["engine-00", "engine-01", "engine-02", "engine-03"];

/// Freezes and kills the holder of the group's lease and makes a rank cold while steps run, and
/// checks the map version of each step.
pub async fn check_one_map_per_step(mut context: Context) -> Result<Promise> {
    let mut promise = Promise::new("one expert map a step", Mechanism::Barrier);
    let first_map_after =
        context.wait_until(|| async { !collect_steps(&context).await.is_empty() }).await;
    promise.record_recovery("first map in use", first_map_after);
    let holder = read_lease_holder(&context).await;
    if let Some(freeze_guard) = context.estate.freeze_sidecar(&holder, Duration::from_secs(20)) {
        let elapsed = wait_for_new_version(&context).await;
        promise.record_recovery("holder frozen", elapsed);
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(freeze_guard);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    context.script_engine("engine-02", r#"{"cold":true}"#).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let holder = read_lease_holder(&context).await;
    if let Some(cell) = context.estate.take_sidecar(&holder) {
        cell.kill();
        context.estate.start_sidecar(&holder)?;
        let elapsed = wait_for_new_version(&context).await;
        promise.record_recovery("holder killed", elapsed);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for (step, versions) in collect_steps(&context).await {
        let mixed = versions.len() > 1;
        promise.record_case(mixed.then(|| format!("step {step:?} ran on {versions:?}")));
    }
    let mut held = 0;
    for name in GROUP {
        held += context.estate.engine(name).map_or(0, |engine| engine.counts().held);
    }
    promise.record_count("steps held", held);
    context.finish().await;
    Ok(promise)
}

/// Collects the map versions that the ranks of the group used, by step: leader and step number.
async fn collect_steps(context: &Context) -> BTreeMap<(u64, u64), BTreeSet<u64>> {
    let mut all: BTreeMap<(u64, u64), BTreeSet<u64>> = BTreeMap::new();
    for name in GROUP {
        let Some(address) = context.estate.upstream_address(name) else { continue };
        let steps: Vec<Step> =
            context.get_json(address, "/control/steps").await.unwrap_or_default();
        for step in steps {
            all.entry((step.leader, step.number)).or_default().insert(step.version);
        }
    }
    all
}

async fn read_newest_version(context: &Context) -> u64 {
    collect_steps(context).await.values().flatten().copied().max().unwrap_or_default()
}

async fn wait_for_new_version(context: &Context) -> Duration {
    let before = read_newest_version(context).await;
    context.wait_until(|| async { read_newest_version(context).await > before }).await
}

async fn read_lease_holder(context: &Context) -> String {
    let object = context.platform.read("leases/group-drafting-0").await;
    let value = object.ok().flatten().map(|object| object.value).unwrap_or_default();
    let holder: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
    holder["name"].as_str().unwrap_or("engine-00").to_string()
}
