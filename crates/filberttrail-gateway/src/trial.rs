//! One send of a request, until it is known whether its upstream survives it.

use crate::Hub;
use crate::caller_request::CallerRequest;
use crate::exchange::Failed;
use crate::permit::Permit;
use crate::slot_request::Refusal;
use crate::target::Target;
use filberttrail_fleet::admission;
use filberttrail_fleet::blame::{CONDEMNED_LIFETIME, Decision, SubjectId, Turn};
use filberttrail_fleet::upstream;
use filberttrail_kernel::Mechanism;
use filberttrail_web::crash;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a request is sent again whose upstream crashed, so that what the crash accuses is
/// known by then.
const NEWS_DELAY: Duration = Duration::from_millis(200);

/// One send of a request. While it has suspects, no other request with them is sent by this entry.
pub struct Trial {
    hub: Arc<Hub>,
    caller_request: Arc<CallerRequest>,
    target: Target,
    suspects: Vec<SubjectId>,
    /// Whether the request has been given to the upstream and its outcome is not known.
    open: bool,
    /// Whether its answer has lived, so that only the whole request may still crash the upstream.
    has_lived: bool,
}

impl Trial {
    /// Returns the upstreams that a request must not be sent to, or why it must not be sent at all: a
    /// subject of it is condemned, or a suspect that this entry must not try now. `crashed` tells
    /// whether an upstream has crashed under the request.
    pub fn check(
        hub: &Hub,
        caller_request: &CallerRequest,
        crashed: bool,
    ) -> Result<Vec<upstream::Id>, Refusal> {
        match decide(hub, caller_request, crashed)?.is_empty() {
            true => Ok(Vec::new()),
            false => Ok(hub.reserved_upstreams(&caller_request.service)),
        }
    }

    /// Begins the trial of a request that is about to be sent with a permit.
    pub fn begin(
        hub: &Arc<Hub>,
        caller_request: &Arc<CallerRequest>,
        permit: &Permit,
        crashed: bool,
    ) -> Result<Self, Refusal> {
        let suspects = decide(hub, caller_request, crashed)?;
        // It may have become a suspect while it waited for the permit.
        let service = &caller_request.service;
        if !suspects.is_empty() && hub.reserved_upstreams(service).contains(&permit.id) {
            return Err(refuse_suspect());
        }
        let target = Target::new(permit);
        hub.blame.begin_trial(&suspects, &target);
        let (hub, caller_request) = (hub.clone(), caller_request.clone());
        Ok(Self { hub, caller_request, target, suspects, open: true, has_lived: false })
    }

    /// Records that the answer has lived: the upstream survives the parts of the prompt. It survives the
    /// whole request once the answer is complete.
    pub fn note_life(&mut self) {
        if std::mem::replace(&mut self.has_lived, true) {
            return;
        }
        let digest = self.caller_request.digest;
        let parts: Vec<SubjectId> =
            self.caller_request.subjects.iter().copied().filter(|id| *id != digest).collect();
        self.hub.blame.record_lived(&parts);
        let (kept, ended) = self.suspects.iter().partition(|suspect| **suspect == digest);
        self.suspects = kept;
        let ended: Vec<SubjectId> = ended;
        self.hub.blame.end_trial(&ended);
    }

    /// Ends the trial of an answer that broke off after it had lived. The request is accused if it turns
    /// out that the upstream has crashed, without a connection to find that out.
    pub fn break_off(mut self, failed: &Failed) {
        self.open = matches!(failed, Failed::Silent | Failed::Unknown(_));
    }

    /// Returns whether the answer has lived.
    pub fn has_lived(&self) -> bool {
        self.has_lived
    }

    /// Records that the upstream survived the request.
    pub fn pass(mut self) {
        self.open = false;
        self.hub.blame.record_lived(&self.caller_request.subjects);
    }

    /// Records that the upstream has begun to respond: it doesn't end without a response if the caller
    /// leaves, or is out of time, before it is complete.
    pub fn note_response(&mut self) {
        self.open = false;
    }

    /// Ends the trial without an outcome: the upstream did not begin to run the request, or says that
    /// it failed.
    pub fn cancel(mut self) {
        self.open = false;
    }

    /// Finds out whether the upstream crashed under the request, and accuses its subjects then. If
    /// that is not known, they are accused once it is. The trial ends after that. Returns whether the
    /// upstream crashed; the request may be sent again then.
    pub async fn fail(mut self, failed: &Failed) -> bool {
        match failed {
            Failed::Refused(_) | Failed::NotRun { misdirected: true, .. } => {
                self.hub.blame.record_end(&self.target.id, self.target.incarnation);
                self.cancel();
                return false;
            }
            Failed::Unsent(_) | Failed::NotRun { .. } => {
                self.cancel();
                return false;
            }
            Failed::Unusable(_) => self.open = false,
            Failed::Silent | Failed::Unknown(_) => self.open = true,
        }
        // A change of the registrations may have arrived while the upstream was asked.
        let ended = self.hub.has_ended(&self.target)
            || (*failed != Failed::Silent && crash::has_crashed(self.target.address).await)
            || self.hub.has_ended(&self.target);
        if !ended {
            return false;
        }
        self.open = false;
        let Self { hub, caller_request, target, suspects, .. } = &self;
        let subjects = &caller_request.subjects;
        let trusted = hub.blame.trusts(subjects);
        hub.blame.record_crash(&caller_request.id, target, subjects, suspects);
        hub.blame.record_end(&target.id, target.incarnation);
        drop(self);
        if !trusted {
            tokio::time::sleep(NEWS_DELAY).await;
        }
        true
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.open {
            let CallerRequest { subjects, digest, .. } = &*self.caller_request;
            let subjects = if self.has_lived { std::slice::from_ref(digest) } else { subjects };
            self.hub.blame.record_failure(&self.target, subjects, &self.suspects);
        }
        if !self.suspects.is_empty() {
            self.hub.blame.end_trial(&self.suspects);
        }
    }
}

fn refuse_suspect() -> Refusal {
    let retry_after = admission::retry_after_outage(fastrand::f64());
    Refusal { cause: Refusal::SUSPECT, retry_after }
}

fn decide(
    hub: &Hub,
    caller_request: &CallerRequest,
    crashed: bool,
) -> Result<Vec<SubjectId>, Refusal> {
    if !hub.settings.disabled.is_enabled(Mechanism::Blame) {
        return Ok(Vec::new());
    }
    // A request that a crash broke off is the best trial of its digest, as most are sound, and others
    // wait for it. It is no trial of its parts, which other requests have too, and is not sent again
    // if they are suspects.
    let turn = |subject, only_suspect| match (subject == caller_request.digest, crashed) {
        (true, true) => Turn::Retry,
        _ if !hub.may_try(subject) => Turn::Never,
        (true, false) if only_suspect => Turn::Settled,
        (false, true) => Turn::Settled,
        _ => Turn::Now,
    };
    let is_up = || hub.is_up(&caller_request.service);
    match hub.blame.decide(&caller_request.subjects, is_up, turn) {
        Decision::Free => Ok(Vec::new()),
        Decision::Trial(suspects) => Ok(suspects),
        Decision::Suspect(_) => Err(refuse_suspect()),
        Decision::Condemned(_) => {
            Err(Refusal { cause: Refusal::HARMFUL, retry_after: CONDEMNED_LIFETIME })
        }
    }
}
