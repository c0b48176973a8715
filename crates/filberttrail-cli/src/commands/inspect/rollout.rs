//! Reports the rollout of a change: which entries and sidecars apply its generation.

use filberttrail_declare::Manifest;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::Generation;
use filberttrail_store::status::{self, Status};
use filberttrail_store::{Platform, configuration};
use std::collections::BTreeMap;
use std::time::Duration;

/// The interval at which the status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Prints the result of a change. With `wait`, also waits that long for every entry and sidecar to
/// apply it, and returns the exit code [`FAILURE`](crate::FAILURE) if some do not.
pub async fn report(
    platform: &Platform,
    manifest: &Manifest,
    changed: bool,
    wait: Option<Duration>,
    json: bool,
) -> Result<u8> {
    let generation = manifest.generation;
    if !json {
        let what = if changed { "accepted" } else { "nothing to change" };
        println!("{what}: generation {generation}, preset {}", manifest.operation.preset);
    }
    let Some(wait) = wait else { return Ok(crate::SUCCESS) };
    let result = tokio::time::timeout(wait, wait_for(platform, generation, json)).await;
    match result {
        Ok(outcome) => outcome.map(|()| crate::SUCCESS),
        Err(_) => {
            eprintln!("not applied everywhere within {wait:?}: see 'filberttrail status'");
            Ok(crate::FAILURE)
        }
    }
}

/// Polls the status until every entry and sidecar applies `generation`; prints progress by data
/// centre unless `json` is set.
async fn wait_for(platform: &Platform, generation: Generation, json: bool) -> Result<()> {
    let mut shown = BTreeMap::new();
    loop {
        let progress = count_applied(&status::read_all(platform).await?, generation);
        for (data_centre, (applied, total)) in &progress {
            if shown.get(data_centre) != Some(&(*applied, *total)) && !json {
                println!("{data_centre}: {applied} of {total} apply generation {generation}");
            }
        }
        if !progress.is_empty() && progress.values().all(|(applied, total)| applied == total) {
            return Ok(());
        }
        shown = progress;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns for each data centre how many processes apply a generation and how many there are. The
/// processes are its entries and, as each entry reports them, the sidecars that it is connected to.
fn count_applied(statuses: &[Status], generation: Generation) -> BTreeMap<String, (usize, usize)> {
    let mut counts = BTreeMap::new();
    for status in statuses {
        let (applied, total) = counts.entry(status.data_centre.clone()).or_insert((0, 0));
        let reported = status.upstreams.values().chain([&status.generation]);
        for reported_generation in reported {
            *total += 1;
            *applied += usize::from(*reported_generation >= generation);
        }
    }
    counts
}

/// Reads the manifest in force, or `None` if nothing has been applied yet.
pub async fn read_in_force(platform: &Platform) -> Result<Option<Manifest>> {
    Ok(configuration::read_manifest(platform).await?.map(|(_, manifest)| manifest))
}
