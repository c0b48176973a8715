//! The row of one measurement.

use serde::Serialize;
use std::time::Duration;

/// Ordinary requests, without or with a crowd.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Connections of the crowd.
    pub crowd: usize,
    /// Ordinary requests sent.
    pub requests: usize,
    /// Ordinary requests that succeeded.
    pub answered: usize,
    /// Median latency of those, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of their latency, in milliseconds.
    pub p99_ms: f64,
    /// Processor time of all entries per ordinary request, in microseconds, with what the crowd costs
    /// meanwhile.
    pub processor_us: f64,
    /// Chunks that the crowd sent per second.
    pub chunks_per_s: f64,
    /// Resident memory of the whole process at the end, in megabytes.
    pub resident_mb: f64,
}

impl Row {
    /// Creates the row of requests of which those that succeeded took these times.
    pub fn new(
        crowd: usize,
        requests: usize,
        mut times: Vec<Duration>,
        processor_time: Duration,
        chunks_per_s: f64,
    ) -> Self {
        times.sort_unstable();
        let percentile = |percent: usize| {
            let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
            times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
        };
        Self {
            crowd,
            requests,
            answered: times.len(),
            median_ms: percentile(50),
            p99_ms: percentile(99),
            processor_us: processor_time.as_secs_f64() * 1e6 / requests.max(1) as f64,
            chunks_per_s,
            resident_mb: read_resident_mb(),
        }
    }
}

/// Reads the resident memory of this process, or 0 if the system doesn't tell it.
fn read_resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or_default() * 1_024.0 / 1e6
}
