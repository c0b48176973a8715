//! One run of a request, until it is known whether the upstream survives it.

use crate::context::Context;
use filberttrail_fleet::blame::{Crash, Decision, SubjectId, choose_trial_places};
use filberttrail_kernel::Mechanism;
use filberttrail_protocol::{Cause, Offer};
use filberttrail_web::crash::has_crashed;
use std::sync::Arc;

/// One run of a request. While it has suspects, no other request with them is run here.
pub struct Trial {
    context: Arc<Context>,
    subject: SubjectId,
    at: Crash,
    suspects: Vec<SubjectId>,
    /// Whether the outcome is not known yet.
    open: bool,
}

impl Trial {
    /// Returns why a request must not be run: it is condemned, or a suspect that this sidecar must
    /// not try now.
    pub fn check(context: &Context, offer: &Offer) -> Result<(), Cause> {
        decide(context, offer).map(drop)
    }

    /// Begins the trial of a request that is about to be sent to the upstream.
    pub fn begin(context: &Arc<Context>, offer: &Offer) -> Result<Self, Cause> {
        let suspects = decide(context, offer)?;
        let at = context.current_life();
        context.blame.begin_trial(&suspects, at);
        let (context, subject) = (context.clone(), offer.subject);
        Ok(Self { context, subject, at, suspects, open: true })
    }

    /// Records that the upstream survived the request: its response is complete.
    pub fn pass(&mut self) {
        self.open = false;
        self.context.blame.record_lived(self.subject);
    }

    /// Ends the trial without an outcome: the upstream did not run the request, or says that it
    /// failed.
    pub fn cancel(&mut self) {
        self.open = false;
    }

    /// Finds out whether the upstream crashed, and accuses the request then. Returns the cause of the
    /// failure.
    pub async fn fail(mut self) -> Cause {
        if !has_crashed(self.context.settings.upstream).await {
            return Cause::BrokenOff;
        }
        if std::mem::replace(&mut self.open, false) {
            self.context.blame.record_crash(self.at, self.subject, &self.suspects);
        }
        self.context.end_life(self.at);
        Cause::Crashed
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.open {
            self.context.blame.record_failure(self.at, self.subject, &self.suspects);
        }
        self.context.blame.end_trial(&self.suspects);
    }
}

fn decide(context: &Context, offer: &Offer) -> Result<Vec<SubjectId>, Cause> {
    if !context.settings.disabled.is_enabled(Mechanism::Blame) {
        return Ok(Vec::new());
    }
    let may_try = || {
        context.serving_names().is_none_or(|names| {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let places = choose_trial_places(offer.subject, &names, offer.crashed);
            places.contains(&context.settings.name.as_str())
        })
    };
    match context.blame.decide(offer.subject, offer.crashed, may_try) {
        Decision::Free => Ok(Vec::new()),
        Decision::Trial(suspects) => Ok(suspects),
        Decision::Suspect(_) => Err(Cause::Suspect),
        Decision::Condemned(_) => Err(Cause::Harmful),
    }
}
