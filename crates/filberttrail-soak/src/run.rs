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

/// What a run is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Decides the faults.
    pub seed: u64,
    /// How long faults come.
    pub faults_for: Duration,
    /// Gateways, each a process.
    pub processes: usize,
    /// The program whose `gateway` command is run.
    pub program: String,
    /// What its gateways lack.
    pub mutant: Option<Mutant>,
    /// Where settings and logs are written.
    pub directory: PathBuf,
    /// Whether settings and logs are kept although every promise held.
    pub keep_files: bool,
}

/// Callers of each gateway.
const CALLERS: usize = 4;
/// Upstreams of the smallest estate.
const UPSTREAMS: usize = 4;
/// The bounds that the platform's pages state for its deployments.
pub const BOUNDS: Bounds = Bounds {
    settle: Duration::from_millis(4_000),
    apply: Duration::from_millis(3_000),
    rollback: Duration::from_millis(250),
    drain: Duration::from_millis(3_000),
    out: Duration::from_millis(5_000),
    loss: Duration::from_millis(200),
    retries: Terms { ratio: 0.2, slack: 90.0, span: Duration::from_secs(10) },
};

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// The verdict.
    pub report: Report,
    /// What it rests on.
    pub evidence: Evidence,
    /// What was done, and when.
    pub plan: Plan,
}

fn size(settings: &Settings) -> Size {
    Size {
        gateways: settings.processes.max(1),
        upstreams: UPSTREAMS.max(settings.processes),
        data_centres: 2,
    }
}

/// Draws the plan of a run.
pub fn plan(settings: &Settings) -> Plan {
    Plan::new(settings.seed, settings.faults_for, size(settings))
}

/// Plays the plan of a seed and judges what was seen.
pub async fn run(settings: Settings) -> Result<Outcome> {
    let plan = plan(&settings);
    play(settings, plan).await
}

/// Plays a plan and judges what was seen.
pub async fn play(settings: Settings, plan: Plan) -> Result<Outcome> {
    let size = size(&settings);
    let estate = Estate::start(settings.clone(), size, &BOUNDS).await?;
    let offset = estate.now();
    let mut callers = JoinSet::new();
    for caller in 0..size.gateways * CALLERS {
        callers.spawn(callers::call(estate.clone(), caller, offset + plan.end));
    }
    let mut faults = JoinSet::new();
    for step in plan.steps.clone() {
        let estate: Arc<Estate> = estate.clone();
        faults.spawn(async move {
            tokio::time::sleep(step.at).await;
            estate.act(step.fault).await;
        });
    }
    while callers.join_next().await.is_some() {}
    faults.shutdown().await;
    let mut evidence = estate.end().await;
    evidence.calm_from = offset + plan.calm_from;
    let report = verdict::judge(settings.seed, &evidence, &BOUNDS);
    if report.violations() == 0 && !settings.keep_files {
        // What is left in the folder for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&settings.directory);
    }
    Ok(Outcome { report, evidence, plan })
}
