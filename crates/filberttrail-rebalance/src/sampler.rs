//! Converts the cumulative expert counts of one rank into increments since the previous sample.

use crate::report::Counts;
use std::time::Duration;

/// Maximum age of the previous sample. Increments over a longer time would mix the popularity of
/// several seconds, so the sample only becomes the base of the next one.
const SAMPLE_AGE_LIMIT: Duration = Duration::from_millis(1_500);

/// The last sample of a rank's counts.
#[derive(Debug, Default)]
pub struct Sampler {
    last: Option<(Duration, Counts)>,
}

impl Sampler {
    /// Creates a sampler without a sample.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the counts at `now` and returns their increments since the previous sample, one per
    /// expert; `None` if there is no recent sample with the same experts. Counts that decreased
    /// come from a rank that restarted and counts from zero.
    pub fn sample(&mut self, now: Duration, counts: Counts) -> Option<Vec<u64>> {
        let previous = self.last.replace((now, counts.clone()));
        let (at, before) = previous?;
        if before.counts.len() != counts.counts.len() || now > at + SAMPLE_AGE_LIMIT {
            return None;
        }
        let pairs = counts.counts.iter().zip(&before.counts);
        if pairs.clone().any(|(now, before)| now < before) {
            return Some(counts.counts);
        }
        Some(pairs.map(|(now, before)| now - before).collect())
    }
}

/// Adds one rank's increments to a sum. Increments of another number of experts replace an empty
/// sum, and are ignored otherwise.
pub fn add(sum: &mut Vec<u64>, increments: &[u64]) {
    if sum.is_empty() {
        sum.extend_from_slice(increments);
    } else if sum.len() == increments.len() {
        sum.iter_mut().zip(increments).for_each(|(sum, increment)| {
            *sum = sum.saturating_add(*increment);
        });
    }
}
