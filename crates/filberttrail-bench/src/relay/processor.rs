//! Processor time of threads, by thread name.

use std::collections::BTreeMap;
use std::time::Duration;

/// Processor time used so far, by thread name.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    threads: BTreeMap<String, Duration>,
}

impl Usage {
    /// Reads the processor time of the threads whose names start with one of the prefixes, from
    /// `/proc/self/task/*/schedstat`.
    pub fn read(prefixes: &[&str]) -> Self {
        let mut usage = Self::default();
        let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return usage };
        for task in tasks.flatten() {
            let read = |file: &str| std::fs::read_to_string(task.path().join(file)).ok();
            let (Some(name), Some(schedstat)) = (read("comm"), read("schedstat")) else { continue };
            let nanoseconds = schedstat.split(' ').next().and_then(|text| text.parse().ok());
            let name = name.trim().to_string();
            if prefixes.iter().any(|prefix| name.starts_with(prefix)) {
                let time = Duration::from_nanos(nanoseconds.unwrap_or_default());
                *usage.threads.entry(name).or_default() += time;
            }
        }
        usage
    }

    /// Returns the processor time used since an earlier reading.
    pub fn since(&self, before: &Self) -> Self {
        let earlier = |name: &String| before.threads.get(name).copied().unwrap_or_default();
        let threads = self.threads.iter();
        let threads = threads.map(|(name, time)| (name.clone(), *time - earlier(name)));
        Self { threads: threads.collect() }
    }

    /// Returns the total of the threads whose names start with the prefix.
    pub fn sum_by_prefix(&self, prefix: &str) -> Duration {
        let threads = self.threads.iter().filter(|(name, _)| name.starts_with(prefix));
        threads.map(|(_, time)| *time).sum()
    }
}
