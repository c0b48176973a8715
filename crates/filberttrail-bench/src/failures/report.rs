//! What a run of failures came to.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// One promise's count.
#[derive(Debug, Clone, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Promise {
    /// The promise.
    pub promise: String,
    /// The mechanism that keeps it.
    pub mechanism: String,
    /// Cases that were tried.
    pub cases: u64,
    /// Cases in which it was broken.
    pub violations: u64,
    /// Unrepeatable calls whose outcome the caller was not told, where there are any.
    pub unknown: u64,
    /// What the first violations were.
    pub examples: Vec<String>,
    /// Times to recover, in milliseconds, by what had failed.
    pub recovery_ms: BTreeMap<String, u64>,
    /// Counts that are of interest besides, by name.
    pub counts: BTreeMap<String, u64>,
}

/// Violations that are written out.
const EXAMPLES: usize = 5;

impl Promise {
    /// Starts a count.
    pub fn new(promise: &str, mechanism: impl ToString) -> Self {
        let mechanism = mechanism.to_string();
        Self { promise: promise.to_string(), mechanism, ..Self::default() }
    }

    /// Counts a case, and whether it broke the promise.
    pub fn record_case(&mut self, broken: Option<String>) {
        self.cases += 1;
        if let Some(what) = broken {
            self.violations += 1;
            if self.examples.len() < EXAMPLES {
                self.examples.push(what);
            }
        }
    }

    /// Notes how long something took to recover.
    pub fn record_recovery(&mut self, what: &str, took: Duration) {
        self.recovery_ms.insert(what.to_string(), took.as_millis() as u64);
    }

    /// Notes a count.
    pub fn record_count(&mut self, what: &str, number: u64) {
        self.counts.insert(what.to_string(), number);
    }
}

/// All promises' counts.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// Each promise that was tried.
    pub promises: Vec<Promise>,
}

impl Report {
    /// Starts an empty report.
    pub fn new(seed: u64) -> Self {
        Self { seed, promises: Vec::new() }
    }

    /// Adds a promise.
    pub fn add(&mut self, promise: Promise) {
        self.promises.push(promise);
    }

    /// Says in one line whether every promise held, or which ones did not.
    pub fn summarize(&self) -> String {
        let broken = self.promises.iter().filter(|promise| promise.violations > 0);
        let broken: Vec<&str> = broken.map(|promise| promise.promise.as_str()).collect();
        match broken.is_empty() {
            true => format!("seed {}: all {} promises held", self.seed, self.promises.len()),
            false => format!("seed {}: broken: {}", self.seed, broken.join("; ")),
        }
    }

    /// Counts all violations.
    pub fn violations(&self) -> u64 {
        self.promises.iter().map(|promise| promise.violations).sum()
    }
}
