//! One run of a soak.

use crate::estate::Estate;
use crate::mutant::Mutant;
use crate::plan::{Plan, Size};
use crate::verdict::{self, Bounds};
use crate::{Evidence, callers};
use filberttrail_bench::failures::Report;
use filberttrail_fleet::budget::Terms;
use filberttrail_kernel::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Settings of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Seed of the fault plan.
    pub seed: u64,
    /// Time from the start of traffic within which new faults are injected.
    pub faults_for: Duration,
    /// Number of gateways, each of which is a process.
    pub processes: usize,
    /// Path of the program whose `gateway` command is run.
    pub program: String,
    /// The mechanism that all gateways lack, if any.
    pub mutant: Option<Mutant>,
    /// Directory for settings files and logs.
    pub directory: PathBuf,
    /// Whether settings files and logs are kept although all promises held.
    pub keep_files: bool,
}

/// Number of callers of each gateway.
const CALLERS_PER_GATEWAY: usize = 4;
/// Minimum number of upstream endpoints.
const MIN_UPSTREAMS: usize = 4;
/// The bounds that the platform's documentation states for its deployments.
pub const BOUNDS: Bounds = Bounds {
    settle: Duration::from_millis(4_000),
    apply: Duration::from_millis(3_000),
    rollback: Duration::from_millis(250),
    drain: Duration::from_millis(3_000),
    out: Duration::from_millis(5_000),
    close_race: Duration::from_millis(200),
    retries: Terms { ratio: 0.2, slack: 90.0, span: Duration::from_secs(10) },
};

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The verdict on each promise.
    pub report: Report,
    /// The evidence that the verdict is based on.
    pub evidence: Evidence,
    /// The faults that were injected, and when.
    pub plan: Plan,
}

fn estate_size(settings: &Settings) -> Size {
    Size {
        gateways: settings.processes.max(1),
        upstreams: MIN_UPSTREAMS.max(settings.processes),
        data_centres: 2,
    }
}

/// Draws the plan of a run from its seed and size.
pub fn draw_plan(settings: &Settings) -> Plan {
    Plan::new(settings.seed, settings.faults_for, estate_size(settings))
}

/// Runs the plan that is drawn from the seed, and judges the evidence. Fails if the estate cannot
/// be started.
pub async fn run(settings: Settings) -> Result<Outcome> {
    let plan = draw_plan(&settings);
    run_plan(settings, plan).await
}

/// Runs a plan instead of the one that the seed gives, and judges the evidence. Fails if the estate
/// cannot be started.
pub async fn run_plan(settings: Settings, plan: Plan) -> Result<Outcome> {
    let size = estate_size(&settings);
    let estate = Estate::start(settings.clone(), size, &BOUNDS).await?;
    let offset = estate.now();
    let mut callers = JoinSet::new();
    for caller in 0..size.gateways * CALLERS_PER_GATEWAY {
        callers.spawn(callers::run_caller(estate.clone(), caller, offset + plan.end));
    }
    let mut faults = JoinSet::new();
    for step in plan.steps.clone() {
        let estate: Arc<Estate> = estate.clone();
        faults.spawn(async move {
            tokio::time::sleep(step.at).await;
            estate.inject(step.fault).await;
        });
    }
    while callers.join_next().await.is_some() {}
    faults.shutdown().await;
    let mut evidence = estate.shut_down().await;
    evidence.undisturbed_from = offset + plan.undisturbed_from;
    let report = verdict::judge(settings.seed, &evidence, &BOUNDS);
    if report.violations() == 0 && !settings.keep_files {
        // If this fails, files stay behind in the directory, which does no harm.
        let _ = std::fs::remove_dir_all(&settings.directory);
    }
    Ok(Outcome { report, evidence, plan })
}
