//! One send of a request, until it is known whether its upstream survives it.

use crate::Hub;
use crate::caller_request::CallerRequest;
use crate::crash;
use crate::exchange::Failed;
use crate::permit::Permit;
use crate::slot_request::Refusal;
use crate::target::Target;
use filberttrail_fleet::admission;
use filberttrail_fleet::blame::{CONDEMNED_LIFETIME, Decision, SubjectId, Turn};
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
}

impl Trial {
    /// Returns why a request must not be sent, if a subject of it is condemned, or a suspect that
    /// this entry must not try now. `crashed` tells whether the last send of the request ended with
    /// a crash of its upstream.
    pub fn check(hub: &Hub, caller_request: &CallerRequest, crashed: bool) -> Result<(), Refusal> {
        decide(hub, caller_request, crashed).map(drop)
    }

    /// Begins the trial of a request that is about to be sent with a permit.
    pub fn begin(
        hub: &Arc<Hub>,
        caller_request: &Arc<CallerRequest>,
        permit: &Permit,
        crashed: bool,
    ) -> Result<Self, Refusal> {
        let suspects = decide(hub, caller_request, crashed)?;
        let target = Target::new(permit);
        hub.blame.begin_trial(&suspects, &target);
        Ok(Self { hub: hub.clone(), caller_request: caller_request.clone(), target, suspects })
    }

    /// Returns the upstream that the request is sent to.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Records that the upstream survived the request.
    pub fn pass(self) {
        self.hub.blame.record_lived(&self.caller_request.subjects);
    }

    /// Finds out whether the upstream crashed under the request, and accuses its subjects then. The
    /// trial ends after that. Returns whether it did, and the request may be sent again.
    pub async fn fail(self, failed: &Failed) -> bool {
        if !matches!(failed, Failed::Unknown(_)) || !crash::has_crashed(&self.target).await {
            return false;
        }
        let Self { hub, caller_request, target, suspects } = &self;
        let subjects = &caller_request.subjects;
        let trusted = hub.blame.trusts(subjects);
        hub.blame.record_crash(&caller_request.id, target, subjects, suspects);
        drop(self);
        if !trusted {
            tokio::time::sleep(NEWS_DELAY).await;
        }
        true
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.suspects.is_empty() {
            self.hub.blame.end_trial(&self.suspects);
        }
    }
}

fn decide(
    hub: &Hub,
    caller_request: &CallerRequest,
    crashed: bool,
) -> Result<Vec<SubjectId>, Refusal> {
    // A request that a crash broke off is the best trial of its digest, as most are sound, and others
    // wait for it. It is no trial of its parts: other requests with them may be sound.
    let turn = |subject| match (subject == caller_request.digest, crashed) {
        (true, true) => Turn::Now,
        _ if !hub.may_try(subject) => Turn::Never,
        (false, false) => Turn::Now,
        _ => Turn::Settled,
    };
    match hub.blame.decide(&caller_request.subjects, turn) {
        Decision::Free => Ok(Vec::new()),
        Decision::Trial(suspects) => Ok(suspects),
        Decision::Suspect(_) => {
            let retry_after = admission::retry_after_outage(fastrand::f64());
            Err(Refusal { cause: Refusal::SUSPECT, retry_after })
        }
        Decision::Condemned(_) => {
            Err(Refusal { cause: Refusal::HARMFUL, retry_after: CONDEMNED_LIFETIME })
        }
    }
}
