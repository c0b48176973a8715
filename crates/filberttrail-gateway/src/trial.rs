//! Whether a request may be sent although a part of its prompt may crash upstreams.

use crate::Hub;
use crate::caller_request::CallerRequest;
use crate::slot_request::Refusal;
use filberttrail_fleet::admission;
use filberttrail_fleet::blame::{CONDEMNED_LIFETIME, Decision, PartId};
use std::sync::Arc;

/// The trial of suspects by one request. It ends when dropped.
pub struct Trial {
    hub: Arc<Hub>,
    suspects: Vec<PartId>,
}

impl Trial {
    /// Returns why a request must not be sent, if a part of its prompt is condemned, or a suspect
    /// that this entry must not try now.
    pub fn check(hub: &Hub, caller_request: &CallerRequest) -> Result<(), Refusal> {
        decide(hub, caller_request).map(drop)
    }

    /// Begins the trial of the suspects in a request that is about to be sent. Without suspects,
    /// the trial is empty.
    pub fn begin(hub: &Arc<Hub>, caller_request: &CallerRequest) -> Result<Self, Refusal> {
        let suspects = decide(hub, caller_request)?;
        hub.blame.begin_trial(&suspects);
        Ok(Self { hub: hub.clone(), suspects })
    }

    /// Returns the suspects.
    pub fn suspects(&self) -> &[PartId] {
        &self.suspects
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.suspects.is_empty() {
            self.hub.blame.end_trial(&self.suspects);
        }
    }
}

fn decide(hub: &Hub, caller_request: &CallerRequest) -> Result<Vec<PartId>, Refusal> {
    let decision = hub.blame.decide(&caller_request.part_ids, |part| hub.may_try(part));
    match decision {
        Decision::Free => Ok(Vec::new()),
        Decision::Trial(suspects) => Ok(suspects),
        Decision::Suspect(_) => {
            let retry_after = admission::retry_after_outage(fastrand::f64());
            Err(Refusal { cause: Refusal::SUSPECT_PROMPT, retry_after })
        }
        Decision::Condemned(_) => {
            Err(Refusal { cause: Refusal::HARMFUL_PROMPT, retry_after: CONDEMNED_LIFETIME })
        }
    }
}
