//! Results of the failure scripts, by promise.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The result of the checks of one promise.
#[derive(Debug, Clone, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Promise {
    /// The name of the promise.
    pub promise: String,
    /// The mechanism that ensures the promise.
    pub mechanism: String,
    /// Cases that were checked.
    pub cases: u64,
    /// Cases that violated the promise.
    pub violations: u64,
    /// Calls that must not be repeated whose outcome was reported to the caller as unknown.
    pub unknown: u64,
    /// Descriptions of the first violations, at most five.
    pub examples: Vec<String>,
    /// Recovery times, in milliseconds, by failure.
    pub recovery_ms: BTreeMap<String, u64>,
    /// Further counts, by name.
    pub counts: BTreeMap<String, u64>,
}

/// Number of violations that are described in the report.
const EXAMPLES: usize = 5;

impl Promise {
    /// Creates a result without cases.
    pub fn new(promise: &str, mechanism: impl ToString) -> Self {
        let mechanism = mechanism.to_string();
        Self { promise: promise.to_string(), mechanism, ..Self::default() }
    }

    /// Records a case; `violation` describes how the case violated the promise, if there was one.
    pub fn record_case(&mut self, violation: Option<String>) {
        self.cases += 1;
        if let Some(description) = violation {
            self.violations += 1;
            if self.examples.len() < EXAMPLES {
                self.examples.push(description);
            }
        }
    }

    /// Records how long the recovery from a failure took.
    pub fn record_recovery(&mut self, name: &str, duration: Duration) {
        self.recovery_ms.insert(name.to_string(), duration.as_millis() as u64);
    }

    /// Records a further count under a name; replaces an earlier one.
    pub fn record_count(&mut self, name: &str, number: u64) {
        self.counts.insert(name.to_string(), number);
    }
}

/// The results of all promises that were checked.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// One result for each promise.
    pub promises: Vec<Promise>,
}

impl Report {
    /// Creates a report without results.
    pub fn new(seed: u64) -> Self {
        Self { seed, promises: Vec::new() }
    }

    /// Adds the result of a promise.
    pub fn add(&mut self, promise: Promise) {
        self.promises.push(promise);
    }

    /// Returns one line that says that all promises held, or names those that were violated.
    pub fn summarize(&self) -> String {
        let violated = self.promises.iter().filter(|promise| promise.violations > 0);
        let violated: Vec<&str> = violated.map(|promise| promise.promise.as_str()).collect();
        match violated.is_empty() {
            true => format!("seed {}: all {} promises held", self.seed, self.promises.len()),
            false => format!("seed {}: broken: {}", self.seed, violated.join("; ")),
        }
    }

    /// Returns the number of violations of all promises.
    pub fn violations(&self) -> u64 {
        self.promises.iter().map(|promise| promise.violations).sum()
    }
}
