//! Injects scripted failures into a whole test deployment and counts violated promises.

mod answers;
mod cold;
mod config;
mod context;
mod maps;
mod outs;
mod payments;
pub mod report;
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
    let wanted = |mechanism| plan.only.is_none_or(|only| only == mechanism);
    let new = || Context::new(plan);
    if wanted(Mechanism::Barrier) {
        report.add(maps::one_map_a_step(new().await?).await?);
    }
    if wanted(Mechanism::Cap) {
        report.add(cold::no_more_than_it_bears(new().await?).await?);
    }
    if wanted(Mechanism::Outs) {
        report.add(outs::nothing_new_while_out(new().await?).await?);
    }
    if wanted(Mechanism::Assembly) {
        report.add(answers::own_and_whole(new().await?).await?);
    }
    if wanted(Mechanism::Ledger) {
        let (refusals, single_runs) = payments::without_keys(new().await?).await?;
        report.add(refusals);
        report.add(single_runs);
    }
    if wanted(Mechanism::Claims) {
        report.add(payments::with_keys(new().await?).await?);
    }
    if wanted(Mechanism::Drain) {
        report.add(shutdown::cuts_off_nothing(new().await?).await?);
    }
    if wanted(Mechanism::Generations) {
        report.add(config::never_reverts(new().await?).await?);
    }
    Ok(report)
}
