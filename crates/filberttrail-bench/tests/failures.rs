//! Checks that each promise holds under injected failures, and that the same failures violate it
//! when its mechanism is disabled. Without the second check, a script that injects nothing would
//! pass.
//!
//! Recovery times are reported by `bench failures`; these tests do not check them.

use filberttrail_bench::failures::{Plan, Promise, Report, run};
use filberttrail_kernel::{Disabled, Mechanism};

const SEED: u64 = 1;

async fn report(mechanism: Mechanism, left_out: bool) -> Report {
    let mut plan = Plan { seed: SEED, only: Some(mechanism), ..Plan::default() };
    if left_out {
        plan.without = Disabled::new().with_disabled(mechanism);
    }
    run(&plan).await.expect("the estate starts")
}

async fn check(mechanism: Mechanism) {
    let with = report(mechanism, false).await;
    assert_eq!(with.violations(), 0, "{with:#?}");
    let without = report(mechanism, true).await;
    assert!(without.violations() > 0, "the script cannot fail: {without:#?}");
}

#[test]
fn the_verdict_names_each_broken_promise() {
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
async fn one_map_a_step() {
    check(Mechanism::Barrier).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn a_cold_upstream_bears_its_load() {
    check(Mechanism::Cap).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn answers_are_own_and_whole() {
    check(Mechanism::Assembly).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn refusals_are_true_and_nothing_runs_twice() {
    check(Mechanism::Ledger).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn a_key_runs_at_most_once() {
    check(Mechanism::Claims).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn a_shutdown_cuts_off_nothing() {
    check(Mechanism::Drain).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn configuration_never_reverts() {
    check(Mechanism::Generations).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn work_goes_on_while_out_without_the_refusal() {
    let without = report(Mechanism::Outs, true).await;
    assert!(without.violations() > 0, "the script cannot fail: {without:#?}");
}
