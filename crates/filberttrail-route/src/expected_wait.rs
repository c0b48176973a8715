//! The candidate whose first token is expected soonest.
//!
//! The wait is the prompt tokens to compute again, slowed by what is in flight, plus the distance.
//! Entries do not see each other's sends: for a prompt that an entry has not sent anywhere, it
//! leans to the candidate that every entry would pick by rendezvous hashing of the prompt's
//! beginning, so that they warm one cache without a word between them.

use crate::candidate::{Candidate, Request};
use crate::policy::Policy;
use fastrand::Rng;
use filberttrail_kernel::digest::mix;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Policy { name: "expected-wait", score }
}

/// Time to compute one prompt token, in seconds.
const PREFILL_SECONDS_PER_TOKEN: f64 = 50e-6;
/// How much one request in flight slows the others, as a part of a step.
const STEP_SLOWDOWN_PER_REQUEST: f64 = 0.25;
/// The part of the prompt that the preferred candidate is believed to have cached already.
const PREFERRED_CACHED_FRACTION: f64 = 0.5;

fn score(request: &Request, candidates: &[Candidate], random: &mut Rng) -> Vec<f64> {
    let preferred = find_preferred(request, candidates);
    let scores = candidates.iter().enumerate().map(|(index, candidate)| {
        let cached_fraction =
            if Some(index) == preferred { PREFERRED_CACHED_FRACTION } else { 0.0 };
        let cached_tokens =
            (request.prompt_tokens as f64 * cached_fraction).max(candidate.cached_tokens as f64);
        let prefill =
            (request.prompt_tokens as f64 - cached_tokens).max(0.0) * PREFILL_SECONDS_PER_TOKEN;
        let utilization =
            f64::from(candidate.in_flight()) / f64::from(candidate.concurrency_limit.max(1));
        let step_time = candidate.step_time.as_secs_f64().max(0.005);
        // Close to its limit a candidate's wait rises steeply: prefixes must not pile up there.
        let queueing = step_time
            * (STEP_SLOWDOWN_PER_REQUEST * f64::from(candidate.in_flight())
                + utilization.powi(4) * 20.0);
        prefill * (1.0 + utilization)
            + queueing
            + candidate.round_trip.as_secs_f64()
            + random.f64() * 1e-4
    });
    scores.collect()
}

/// Picks the candidate that every entry prefers for a prompt; one without prefixes has none.
fn find_preferred(request: &Request, candidates: &[Candidate]) -> Option<usize> {
    let prefix = request.prefixes.first()?;
    (0..candidates.len()).max_by_key(|index| mix(*prefix, candidates[*index].id))
}
