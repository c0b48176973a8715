//! Injects scripted failures into a whole test deployment and counts violated promises.

mod cold;
mod config;
mod context;
mod maps;
mod outs;
mod payments;
pub mod report;
mod responses;
mod shutdown;

pub use report::{Promise, Report};

use context::Context;
use filberttrail_kernel::{Disabled, Mechanism, Result};

/// The options of a run.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Seed for the choice of entries and for the pauses between calls.
    pub seed: u64,
    /// Mechanisms that are disabled, to show the violations that they prevent.
    pub without: Disabled,
    /// Runs only the checks of this mechanism; all if `None`.
    pub only: Option<Mechanism>,
}

/// Runs the selected failure scripts, each on a new deployment, and reports their results.
pub async fn run(plan: &Plan) -> Result<Report> {
    let mut report = Report::new(plan.seed);
    let is_selected = |mechanism| plan.only.is_none_or(|only| only == mechanism);
    let new_context = || Context::new(plan);
    if is_selected(Mechanism::Barrier) {
        report.add(maps::check_one_map_per_step(new_context().await?).await?);
    }
    if is_selected(Mechanism::Cap) {
        report.add(cold::check_cold_capacity(new_context().await?).await?);
    }
    if is_selected(Mechanism::Outs) {
        report.add(outs::check_out_of_service(new_context().await?).await?);
    }
    if is_selected(Mechanism::Assembly) {
        report.add(responses::check_responses(new_context().await?).await?);
    }
    if is_selected(Mechanism::Ledger) {
        let (refusals, single_runs) =
            payments::check_calls_without_keys(new_context().await?).await?;
        report.add(refusals);
        report.add(single_runs);
    }
    if is_selected(Mechanism::Claims) {
        report.add(payments::check_calls_with_keys(new_context().await?).await?);
    }
    if is_selected(Mechanism::Drain) {
        report.add(shutdown::check_graceful_shutdown(new_context().await?).await?);
    }
    if is_selected(Mechanism::Generations) {
        report.add(config::check_configuration(new_context().await?).await?);
    }
    Ok(report)
}
