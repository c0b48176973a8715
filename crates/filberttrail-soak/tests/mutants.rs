//! The soak detects each gateway that lacks a mechanism, under faults which that mechanism handles.

use filberttrail_soak::Mutant;
use filberttrail_soak::fault::Fault;
use filberttrail_soak::plan::{Plan, Step};
use filberttrail_soak::run::{Settings, run_plan};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Runs these faults, at their times in milliseconds, against gateways that lack the mechanism of
/// `mutant`, or against unmodified ones. Returns the names of the broken promises. `tested` is the
/// mutant of the test, which names the directory of the run.
async fn find_broken_promises(
    tested: Mutant,
    mutant: Option<Mutant>,
    faults: &[(u32, Fault)],
) -> Vec<String> {
    let steps: Vec<Step> =
        faults.iter().map(|(at, fault)| Step { at: *at * MS, fault: *fault }).collect();
    let undisturbed_from = steps.iter().map(|step| step.at).max().unwrap_or_default() + 1_000 * MS;
    let plan = Plan { steps, undisturbed_from, end: undisturbed_from + 6_000 * MS };
    let name = format!("soak-{tested}-{}", mutant.is_some());
    let settings = Settings {
        seed: 0,
        faults_for: Duration::ZERO,
        processes: 2,
        program: env!("CARGO_BIN_EXE_filberttrail-soak").to_string(),
        mutant,
        directory: std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
        keep_files: true,
    };
    let outcome = run_plan(settings, plan).await.expect("the estate starts");
    let promises = outcome.report.promises.into_iter();
    promises.filter(|promise| promise.violations > 0).map(|promise| promise.promise).collect()
}

/// Checks that under these faults unmodified gateways break no promise, and that gateways that lack
/// a mechanism break this one.
async fn check_detection(mutant: Mutant, promise: &str, faults: &[(u32, Fault)]) {
    assert_eq!(find_broken_promises(mutant, None, faults).await, Vec::<String>::new(), "{mutant}");
    let found = find_broken_promises(mutant, Some(mutant), faults).await;
    assert!(found.iter().any(|name| name == promise), "{mutant}: {found:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_a_stop_that_does_not_wait_for_open_requests() {
    // A stop only counts if the gateway was undisturbed for 4 s before it, see `BOUNDS.settle`.
    let stops = [(5_000, Fault::Stop(0)), (5_400, Fault::Stop(1))];
    let later = [(13_000, Fault::Stop(0)), (13_400, Fault::Stop(1))];
    check_detection(Mutant::Drain, "a planned stop cuts off nothing", &[stops, later].concat())
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_responses_without_a_signature() {
    let faults: Vec<(u32, Fault)> =
        (0..4).map(|index| (1_000, Fault::Misbehave(index, 40))).collect();
    check_detection(Mutant::Proof, "answers are own and whole", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_payments_that_are_sent_twice() {
    let faults: Vec<(u32, Fault)> =
        (0..4).map(|index| (1_000, Fault::Misbehave(index, 40))).collect();
    check_detection(Mutant::Once, "nothing unrepeatable runs twice", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_api_keys_that_are_never_revoked() {
    check_detection(Mutant::Revocation, "keys are in force in time", &[(1_000, Fault::ReplaceKey)])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_requests_to_draining_upstreams() {
    let faults = [(5_000, Fault::Leave(0)), (5_000, Fault::Leave(1))];
    check_detection(Mutant::Leaving, "what leaves or is out stays quiet", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_requests_to_data_centres_out_of_service() {
    let faults = [(5_000, Fault::Out(0, 8_000 * MS))];
    check_detection(Mutant::Outs, "what leaves or is out stays quiet", &faults).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_requests_that_go_on_to_crash_upstreams() {
    let faults = [(1_000, Fault::Harm(9_000 * MS))];
    check_detection(Mutant::Blame, "a request that crashes upstreams is stopped", &faults).await;
}
