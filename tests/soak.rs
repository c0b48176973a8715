//! A short soak of the real program.

use filberttrail_soak::run::{Settings, run};
use std::time::Duration;

/// Seeds that failed once are added here, each with its cause.
const SEEDS: [u64; 1] = [1];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_seeded_faults() {
    for seed in SEEDS {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let settings = Settings {
            seed,
            faults_for: Duration::from_secs(12),
            processes: 3,
            program: env!("CARGO_BIN_EXE_filberttrail").to_string(),
            mutant: None,
            folder,
            keeps: true,
        };
        let outcome = run(settings).await.expect("the estate starts");
        assert_eq!(outcome.report.violations(), 0, "{:#?}", outcome.report);
    }
}
