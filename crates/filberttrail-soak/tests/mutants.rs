//! The soak finds gateways that lack a mechanism: each under faults that need it.

use filberttrail_soak::Mutant;
use filberttrail_soak::fault::Fault;
use filberttrail_soak::plan::{Plan, Step};
use filberttrail_soak::run::{Settings, play};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Plays faults on gateways that lack a mechanism, or on sound ones in a test of what that one lacks;
/// returns the broken promises.
async fn broken(lacks: Mutant, mutant: Option<Mutant>, faults: &[(u32, Fault)]) -> Vec<String> {
    let steps: Vec<Step> =
        faults.iter().map(|(at, fault)| Step { at: *at * MS, fault: *fault }).collect();
    let calm_from = steps.iter().map(|step| step.at).max().unwrap_or_default() + 1_000 * MS;
    let plan = Plan { steps, calm_from, end: calm_from + 6_000 * MS };
    let name = format!("soak-{lacks}-{}", mutant.is_some());
    let settings = Settings {
        seed: 0,
        faults_for: Duration::ZERO,
        processes: 2,
        program: env!("CARGO_BIN_EXE_filberttrail-soak").to_string(),
        mutant,
        directory: std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
        keep_files: true,
    };
    let outcome = play(settings, plan).await.expect("the estate starts");
    let promises = outcome.report.promises.into_iter();
    promises.filter(|promise| promise.violations > 0).map(|promise| promise.promise).collect()
}

async fn check(mutant: Mutant, promise: &str, faults: &[(u32, Fault)]) {
    assert_eq!(broken(mutant, None, faults).await, Vec::<String>::new(), "{mutant}");
    let found = broken(mutant, Some(mutant), faults).await;
    assert!(found.iter().any(|name| name == promise), "{mutant}: {found:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_without_the_wait_is_found() {
    // Undisturbed for long enough before each, so that it is bound by the promise.
    let stops = [(5_000, Fault::Stop(0)), (5_400, Fault::Stop(1))];
    let later = [(13_000, Fault::Stop(0)), (13_400, Fault::Stop(1))];
    check(Mutant::Drain, "a planned stop cuts off nothing", &[stops, later].concat()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_proof_are_found() {
    let faults: Vec<(u32, Fault)> =
        (0..4).map(|place| (1_000, Fault::Misbehave(place, 40))).collect();
    check(Mutant::Proof, "answers are own and whole", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn payments_that_are_sent_twice_are_found() {
    let faults: Vec<(u32, Fault)> =
        (0..4).map(|place| (1_000, Fault::Misbehave(place, 40))).collect();
    check(Mutant::Once, "nothing unrepeatable runs twice", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_that_are_never_revoked_are_found() {
    check(Mutant::Revocation, "keys are in force in time", &[(1_000, Fault::ReplaceKey)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_for_upstreams_that_leave_is_found() {
    let faults = [(5_000, Fault::Leave(0)), (5_000, Fault::Leave(1))];
    check(Mutant::Leaving, "what leaves or is out stays quiet", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_for_data_centres_that_are_out_is_found() {
    let faults = [(5_000, Fault::Out(0, 8_000 * MS))];
    check(Mutant::Outs, "what leaves or is out stays quiet", &faults).await;
}
