//! What a process of an estate with sidecars blames for crashes of upstreams.

use filberttrail_fleet::blame::{Crash, Decision, Ledger, Report, SubjectId, Turn};
use filberttrail_kernel::clock;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// What one process blames for crashes. Sidecars find that out and decide on each attempt; entries
/// pass their reports on, and decide before they offer a request.
pub struct Blame {
    clock: clock::Shared,
    ledger: Mutex<Ledger>,
    passes_on: bool,
    changed: Notify,
}

impl Blame {
    /// Creates an empty ledger whose process keeps what it is told to itself.
    pub fn new(clock: clock::Shared) -> Self {
        let changed = Notify::new();
        Self { clock, ledger: Mutex::default(), passes_on: false, changed }
    }

    /// Lets the process pass on what it is told.
    pub fn with_passing_on(mut self) -> Self {
        self.passes_on = true;
        self
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Decides on a request. `crashed` tells whether an upstream crashed under an earlier attempt of
    /// it. `may_try` tells whether it may be tried here, and is only asked if it is a suspect.
    pub fn decide(
        &self,
        subject: SubjectId,
        crashed: bool,
        may_try: impl Fn() -> bool,
    ) -> Decision {
        self.lock().decide(
            self.now(),
            &[subject],
            || true,
            |_, _| match (may_try(), crashed) {
                (false, _) => Turn::Never,
                // Most requests that a crash broke off are sound, so each may be tried again once.
                (true, true) => Turn::Retry,
                (true, false) => Turn::Settled,
            },
        )
    }

    /// Begins the trial of suspects at an upstream.
    pub fn begin_trial(&self, suspects: &[SubjectId], at: Crash) {
        if !suspects.is_empty() {
            self.lock().begin_trial(suspects, at);
            self.changed.notify_one();
        }
    }

    /// Ends the trial of suspects.
    pub fn end_trial(&self, suspects: &[SubjectId]) {
        self.lock().end_trial(suspects);
    }

    /// Records that an upstream survived a request.
    pub fn record_lived(&self, subject: SubjectId) {
        let cleared = self.lock().record_lived(self.now(), &[subject]);
        if !cleared.is_empty() {
            log::info!("subjects cleared: {}", format_subjects(&cleared));
            self.changed.notify_one();
        }
    }

    /// Records that an upstream crashed under a request, of which `suspects` were on trial.
    pub fn record_crash(&self, crash: Crash, subject: SubjectId, suspects: &[SubjectId]) {
        let condemned = self.lock().record_crash(self.now(), crash, &[subject], suspects);
        log::warn!("subjects accused: {}, trial {}", format_subjects(&[subject]), suspects.len());
        log_condemned(&condemned);
        self.changed.notify_one();
    }

    /// Records that a request ended without an answer, and it is not known whether its upstream
    /// crashed.
    pub fn record_failure(&self, crash: Crash, subject: SubjectId, suspects: &[SubjectId]) {
        self.lock().record_failure(self.now(), crash, &[subject], suspects);
    }

    /// Records that an upstream has ended, and accuses the requests that ended there without an
    /// answer.
    pub fn record_end(&self, crash: Crash) {
        let [accused, condemned] = self.lock().record_end(self.now(), crash);
        if !accused.is_empty() {
            log::warn!("subjects accused: {}", format_subjects(&accused));
            log_condemned(&condemned);
            self.changed.notify_one();
        }
    }

    /// Takes over what another process reports.
    pub fn receive(&self, report: &Report) {
        let condemned = self.lock().receive(self.now(), report, self.passes_on);
        log_condemned(&condemned);
        if self.passes_on {
            self.changed.notify_one();
        }
    }

    /// Returns what to tell other processes, if there is anything.
    pub fn report(&self) -> Option<Report> {
        let report = self.lock().report(self.now());
        (report != Report::default()).then_some(report)
    }

    /// Waits until there is news for other processes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the number of condemned subjects.
    pub fn count_condemned(&self) -> usize {
        self.lock().count_condemned()
    }

    /// Forgets what has expired.
    pub fn remove_expired(&self) {
        let lapsed = self.lock().remove_expired(self.now());
        if !lapsed.is_empty() {
            log::info!("subjects forgotten: {}", format_subjects(&lapsed));
        }
    }
}

fn log_condemned(subjects: &[SubjectId]) {
    if !subjects.is_empty() {
        log::warn!("subjects condemned: {}", format_subjects(subjects));
    }
}

fn format_subjects(subjects: &[SubjectId]) -> String {
    let subjects = subjects.iter().map(|subject| format!("{subject:016x}"));
    subjects.collect::<Vec<_>>().join(" ")
}
