//! Sums the loads that other entries report, by upstream.
//!
//! Load pattern: 149 entries with a few requests a second each report to each other. A message
//! changes few upstreams, so the sums are updated by differences: their cost depends on the size of
//! the message, and not on the numbers of entries and upstreams.

use std::collections::HashMap;
use std::time::Duration;

/// The hash of an upstream's id in messages between entries.
pub type IdHash = u32;

/// Time for which the load in a message is taken into account.
pub const LIFETIME: Duration = Duration::from_millis(1_000);

/// The last message from one sender.
#[derive(Debug)]
struct Report {
    received_at: Duration,
    loads: Vec<(IdHash, u32)>,
}

/// The loads that other entries reported.
#[derive(Debug, Default)]
pub struct Loads {
    reports: HashMap<String, Report>,
    sums: HashMap<IdHash, u32>,
}

impl Loads {
    /// Creates an empty sum.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the loads that a sender reported, and returns the upstreams whose sum may have
    /// changed.
    pub fn receive(
        &mut self,
        now: Duration,
        sender: &str,
        loads: Vec<(IdHash, u32)>,
    ) -> Vec<IdHash> {
        let mut changed: Vec<IdHash> = loads.iter().map(|(hash, _)| *hash).collect();
        for (hash, load) in &loads {
            let sum = self.sums.entry(*hash).or_default();
            *sum = sum.saturating_add(*load);
        }
        let report = Report { received_at: now, loads };
        if let Some(previous) = self.reports.insert(sender.to_string(), report) {
            changed.extend(self.subtract(&previous));
        }
        changed
    }

    /// Removes the loads of senders that have sent nothing for [`LIFETIME`], and returns the
    /// upstreams whose sum may have changed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<IdHash> {
        let expired: Vec<Report> = self
            .reports
            .extract_if(|_, report| now >= report.received_at + LIFETIME)
            .map(|(_, report)| report)
            .collect();
        expired.iter().flat_map(|report| self.subtract(report)).collect()
    }

    /// Returns the load of an upstream.
    pub fn sum(&self, upstream: IdHash) -> u32 {
        self.sums.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns the loads of upstreams without those that one sender reported. Upstreams without load
    /// are left out.
    pub fn sums_without(&self, sender: &str, upstreams: &[IdHash]) -> Vec<(IdHash, u32)> {
        let mut own: HashMap<IdHash, u32> = HashMap::new();
        for (hash, load) in self.reports.get(sender).into_iter().flat_map(|report| &report.loads) {
            let sum = own.entry(*hash).or_default();
            *sum = sum.saturating_add(*load);
        }
        let others = |hash: &IdHash| {
            self.sum(*hash).saturating_sub(own.get(hash).copied().unwrap_or_default())
        };
        let sums = upstreams.iter().map(|hash| (*hash, others(hash)));
        sums.filter(|(_, load)| *load > 0).collect()
    }

    /// Returns the loads that senders for which `select` is true reported, added up.
    pub fn sums_of(&self, select: impl Fn(&str) -> bool) -> HashMap<IdHash, u32> {
        let mut sums: HashMap<IdHash, u32> = HashMap::new();
        for (_, report) in self.reports.iter().filter(|(sender, _)| select(sender)) {
            for (hash, load) in &report.loads {
                let sum = sums.entry(*hash).or_default();
                *sum = sum.saturating_add(*load);
            }
        }
        sums
    }

    /// Returns the number of senders for which `select` is true.
    pub fn count_senders(&self, select: impl Fn(&str) -> bool) -> usize {
        self.reports.keys().filter(|sender| select(sender)).count()
    }

    fn subtract(&mut self, report: &Report) -> Vec<IdHash> {
        for (hash, load) in &report.loads {
            if let Some(sum) = self.sums.get_mut(hash) {
                *sum = sum.saturating_sub(*load);
                if *sum == 0 {
                    self.sums.remove(hash);
                }
            }
        }
        report.loads.iter().map(|(hash, _)| *hash).collect()
    }
}
