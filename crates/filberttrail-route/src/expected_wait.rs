//! Chooses the candidate with the shortest expected time to the first token.
//!
//! The expected time is the prefill time of the prompt tokens that are not cached, increased by
//! the utilization, plus the delay from requests in flight and the network round trip. Entries do
//! not see the requests that other entries send. For a prompt whose prefix an entry has not sent
//! before, the score favours the candidate that all entries select by rendezvous hashing of the
//! shortest prefix. Entries thus warm the same cache without coordination.

use crate::candidate::{Candidate, Request};
use crate::policy::Policy;
use fastrand::Rng;
use filberttrail_kernel::digest::mix;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Policy { name: "expected-wait", score }
}

/// Prefill time of one prompt token, in seconds.
const PREFILL_SECONDS_PER_TOKEN: f64 = 50e-6;
/// Delay caused by each request in flight, as a fraction of the step time.
const STEP_SLOWDOWN_PER_REQUEST: f64 = 0.25;
/// Fraction of the prompt that is assumed to be cached at the preferred candidate.
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
        // Near the concurrency limit the delay rises steeply, so that requests with a common
        // prefix do not pile up at one candidate.
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

/// Returns the index of the candidate that all entries prefer for a prompt; `None` for a prompt
/// without prefixes.
fn find_preferred(request: &Request, candidates: &[Candidate]) -> Option<usize> {
    let prefix = request.prefixes.first()?;
    (0..candidates.len()).max_by_key(|index| mix(*prefix, candidates[*index].id))
}
