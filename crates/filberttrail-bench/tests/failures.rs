//! Checks that each promise holds under injected failures, and that the same failures violate it
//! when its mechanism is disabled. Without the second check, a script that injects nothing would
//! pass.
//!
//! The out-of-service promise is checked only with its mechanism disabled. Recovery times are
//! reported by `bench failures` and not checked here.

use filberttrail_bench::failures::{Plan, Promise, Report, run};
use filberttrail_kernel::{Disabled, Mechanism};

const SEED: u64 = 1;

async fn run_report(mechanism: Mechanism, is_disabled: bool) -> Report {
    let mut plan = Plan { seed: SEED, only: Some(mechanism), ..Plan::default() };
    if is_disabled {
        plan.without = Disabled::new().with_disabled(mechanism);
    }
    run(&plan).await.expect("the estate starts")
}

async fn check_promise(mechanism: Mechanism) {
    let enabled = run_report(mechanism, false).await;
    assert_eq!(enabled.violations(), 0, "{enabled:#?}");
    let disabled = run_report(mechanism, true).await;
    assert!(
        disabled.violations() > 0,
        "no violation although the mechanism is disabled: {disabled:#?}"
    );
}

#[test]
fn summary_names_each_violated_promise() {
    let mut report = Report::new(SEED);
    let mut held = Promise::new("answers are whole", Mechanism::Assembly);
    held.record_case(None);
    report.add(held);
    assert_eq!(report.summarize(), "seed 1: all 1 promises held");
    let mut broken = Promise::new("refusals are true", Mechanism::Ledger);
    broken.record_case(Some("request 7 ran".into()));
    report.add(broken);
    assert_eq!(report.summarize(), "seed 1: broken: refusals are true");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn ranks_use_one_map_per_step() {
    check_promise(Mechanism::Barrier).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn cold_upstreams_get_no_more_requests_than_they_can_run() {
    check_promise(Mechanism::Cap).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn callers_get_whole_responses_to_their_own_requests() {
    check_promise(Mechanism::Assembly).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn refused_calls_do_not_run_and_others_run_at_most_once() {
    check_promise(Mechanism::Ledger).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn keyed_calls_run_at_most_once() {
    check_promise(Mechanism::Claims).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn graceful_shutdown_interrupts_no_stream() {
    check_promise(Mechanism::Drain).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn configuration_takes_effect_and_never_reverts() {
    check_promise(Mechanism::Generations).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn upstreams_out_of_service_get_requests_if_the_mechanism_is_disabled() {
    let disabled = run_report(Mechanism::Outs, true).await;
    assert!(
        disabled.violations() > 0,
        "no violation although the mechanism is disabled: {disabled:#?}"
    );
}
