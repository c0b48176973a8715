use super::{Crash, SubjectId};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which it may turn out that an upstream crashed under a request. Registrations of crashed
/// upstreams lapse after three heartbeats, 3.6 s.
const LIFETIME: Duration = Duration::from_secs(6);
/// Maximum number of failures that are remembered.
const LIMIT: usize = 256;

/// A request that ended without an answer, for a cause that is not known.
#[derive(Debug)]
pub(super) struct Failure {
    /// The upstream that it was sent to.
    pub crash: Crash,
    pub subjects: Vec<SubjectId>,
    /// The subjects that were on trial by it.
    pub suspects: Vec<SubjectId>,
    /// Whether it was the only trial of its entry at the upstream.
    pub alone: bool,
    pub at: Duration,
}

/// Requests that ended without an answer, because their caller left or their upstream was silent or
/// out of reach. If it turns out that the upstream has crashed, they are accused after all.
#[derive(Debug, Default)]
pub(super) struct Failures(VecDeque<Failure>);

impl Failures {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Remembers a failure, in place of the oldest one if there are too many.
    pub fn push(&mut self, failure: Failure) {
        if self.0.len() >= LIMIT {
            self.0.pop_front();
        }
        self.0.push_back(failure);
    }

    /// Removes and returns the failures at an upstream.
    pub fn take(&mut self, crash: Crash) -> Vec<Failure> {
        let (taken, kept) =
            std::mem::take(&mut self.0).into_iter().partition(|failure| failure.crash == crash);
        self.0 = kept;
        Vec::from_iter::<VecDeque<Failure>>(taken)
    }

    /// Returns the subjects of whose trials the outcome is not known yet.
    pub fn open_trials(&self) -> impl Iterator<Item = SubjectId> {
        self.0.iter().flat_map(|failure| failure.suspects.iter().copied())
    }

    /// Forgets old failures.
    pub fn remove_expired(&mut self, now: Duration) {
        self.0.retain(|failure| now < failure.at + LIFETIME);
    }
}
