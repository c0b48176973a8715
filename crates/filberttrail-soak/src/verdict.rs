//! The verdict on a run: checks each promise against the evidence.

use crate::callers::KINDS;
use crate::evidence::{Attempt, Component, End, Evidence, HarmfulRun, Run};
use filberttrail_bench::failures::{Promise, Report};
use filberttrail_fleet::budget::Terms;
use filberttrail_platform_stand_in::{Kind, caller};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The limits that the promises allow, see [`BOUNDS`](crate::run::BOUNDS). The figures come from
/// the platform's documentation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// How long a gateway and the store must have been undisturbed before the promises with a time
    /// limit apply.
    pub settle: Duration,
    /// Time within which gateways apply a changed configuration.
    pub apply: Duration,
    /// Time from a gateway's first response by a new configuration, within which it may still
    /// handle other requests by the previous one.
    pub rollback: Duration,
    /// Time after which a draining upstream gets no new requests.
    pub drain: Duration,
    /// Time after which a data centre that is out of service gets no new requests.
    pub out: Duration,
    /// A request that is sent while a stopping gateway closes the connection may be lost. Its
    /// connection breaks within this time.
    pub close_race: Duration,
    /// The retry budget of all gateways together.
    pub retries: Terms,
}

/// Checks all promises against the evidence of a run. The seed is only reported.
pub fn judge(seed: u64, evidence: &Evidence, bounds: &Bounds) -> Report {
    let mut report = Report::new(seed);
    let runs = group_runs(evidence);
    report.add(check_responses(evidence));
    report.add(check_streams(evidence));
    report.add(check_single_runs(evidence, &runs));
    report.add(check_refusals(evidence, &runs));
    report.add(check_forwarding(evidence));
    report.add(check_retry_budget(evidence, bounds));
    report.add(check_keys(evidence, bounds));
    report.add(check_rollbacks(evidence, bounds));
    report.add(check_withdrawals(evidence, bounds));
    report.add(check_stops(evidence, &runs, bounds));
    report.add(check_processes(evidence));
    report.add(check_recovery(evidence, &runs, bounds));
    report.add(check_harmful_runs(evidence, bounds));
    report
}

/// The executions of each request, by request id.
type Runs<'a> = HashMap<&'a str, Vec<&'a Run>>;

fn group_runs(evidence: &Evidence) -> Runs<'_> {
    let mut runs: Runs<'_> = HashMap::new();
    for run in &evidence.runs {
        runs.entry(&run.request).or_default().push(run);
    }
    runs
}

fn is_retryable(kind: Kind) -> bool {
    kind != Kind::Pay
}

/// Checks that each successful response is the upstream's own response to that request, and
/// complete.
fn check_responses(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("answers are own and whole", "proof");
    for attempt in &evidence.attempts {
        if let End::Answered { status: 200..=299, own, whole } = attempt.end {
            let broken = !(own && whole);
            promise.record_case(broken.then(|| format!("{attempt:?}")));
        }
    }
    promise
}

/// Checks that what was received of each event stream is the beginning of the expected stream.
fn check_streams(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("streams are in order", "events");
    let expected = caller::stream_body();
    for attempt in evidence.attempts.iter().filter(|attempt| attempt.kind == Kind::Stream) {
        let broken = !attempt.part.is_empty() && !expected.starts_with(&attempt.part);
        promise.record_case(broken.then(|| format!("{attempt:?}")));
    }
    promise
}

/// Checks that each payment is executed at most once.
fn check_single_runs(evidence: &Evidence, runs: &Runs<'_>) -> Promise {
    let mut promise = Promise::new("nothing unrepeatable runs twice", "attempts");
    for attempt in evidence.attempts.iter().filter(|attempt| !is_retryable(attempt.kind)) {
        let run_count = runs.get(attempt.id.as_str()).map_or(0, Vec::len);
        promise.record_case((run_count > 1).then(|| format!("{run_count} runs of {attempt:?}")));
    }
    promise
}

/// Checks that a payment was not executed if its response says so by its status.
fn check_refusals(evidence: &Evidence, runs: &Runs<'_>) -> Promise {
    let mut promise = Promise::new("what was refused did not run", "proof");
    for attempt in evidence.attempts.iter().filter(|attempt| !is_retryable(attempt.kind)) {
        if let End::Answered { status: 408 | 421 | 429 | 503, .. } = attempt.end {
            let was_run = runs.contains_key(attempt.id.as_str());
            promise.record_case(was_run.then(|| format!("it ran: {attempt:?}")));
        }
    }
    promise
}

/// Checks that each request that an upstream executed was sent by a caller and forwarded unchanged.
fn check_forwarding(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("upstreams get what callers sent", "headers");
    let known: HashSet<&str> =
        evidence.attempts.iter().map(|attempt| attempt.id.as_str()).collect();
    for run in &evidence.runs {
        let is_unchanged = run.faithful && known.contains(run.request.as_str());
        promise.record_case((!is_unchanged).then(|| format!("{run:?}")));
    }
    promise
}

/// Checks that retries stay within the retry budget, in the window that ends at each retry.
fn check_retry_budget(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("repeats stay in their budget", "budget");
    let mut seen = HashSet::new();
    let mut runs: Vec<&Run> = evidence.runs.iter().collect();
    runs.sort_by_key(|run| run.at);
    let retries: Vec<Duration> =
        runs.iter().filter(|run| !seen.insert(&run.request)).map(|run| run.at).collect();
    let sent: Vec<Duration> = evidence.attempts.iter().map(|attempt| attempt.sent).collect();
    let count = |times: &[Duration], from: Duration, to: Duration| {
        times.iter().filter(|time| (from..to).contains(*time)).count() as f64
    };
    for (index, &to) in retries.iter().enumerate() {
        let from = to.saturating_sub(bounds.retries.span);
        let retry_count = retries[..=index].iter().filter(|time| **time >= from).count() as f64;
        let allowed = bounds.retries.ratio * count(&sent, from, to) + bounds.retries.slack;
        let broken = retry_count > allowed;
        promise.record_case(broken.then(|| format!("{retry_count} of {allowed:.0} up to {to:?}")));
    }
    promise
}

/// Returns whether the time limits apply to a request: its gateway and the store were undisturbed
/// from `bounds.settle` before it until its end.
fn is_settled(evidence: &Evidence, attempt: &Attempt, bounds: &Bounds) -> bool {
    let from = attempt.sent.saturating_sub(bounds.settle);
    [Component::Gateway(attempt.gateway), Component::Store]
        .iter()
        .all(|component| evidence.is_undisturbed(*component, from, attempt.ended))
}

/// Checks that API keys are accepted and rejected in time after they are added and revoked.
fn check_keys(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("keys are in force in time", "configuration");
    for attempt in &evidence.attempts {
        let key = evidence.keys[attempt.key];
        let in_force = attempt.sent > key.added + bounds.apply;
        let revoked = key.revoked.is_some_and(|at| attempt.sent > at + bounds.apply);
        if !is_settled(evidence, attempt, bounds) || !(in_force || revoked) {
            continue;
        }
        let denied = matches!(attempt.end, End::Answered { status: 401 | 403 | 404, .. });
        let broken = match (revoked, key.revoked) {
            (true, _) => attempt.is_served(),
            (false, None) => denied,
            (false, Some(at)) => denied && attempt.ended < at,
        };
        promise.record_case(broken.then(|| format!("{key:?}: {attempt:?}")));
    }
    promise
}

/// Checks that a gateway process that has rejected a revoked API key does not accept it again.
fn check_rollbacks(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("configuration never reverts", "generations");
    let mut denied: HashMap<(usize, usize, usize), Duration> = HashMap::new();
    let mut attempts: Vec<&Attempt> = evidence.attempts.iter().collect();
    attempts.sort_by_key(|attempt| attempt.ended);
    for attempt in &attempts {
        let revoked = evidence.keys[attempt.key].revoked.is_some_and(|at| attempt.ended > at);
        if revoked && matches!(attempt.end, End::Answered { status: 401, .. }) {
            let at = denied.entry((attempt.gateway, attempt.life, attempt.key));
            at.or_insert(attempt.ended);
        }
    }
    for attempt in &attempts {
        let first = denied.get(&(attempt.gateway, attempt.life, attempt.key));
        if first.is_some_and(|first| attempt.sent > *first + bounds.rollback) {
            promise.record_case(attempt.is_served().then(|| format!("{attempt:?}")));
        }
    }
    promise
}

/// Checks that draining upstreams, and data centres that are out of service, get no new requests
/// after the time limit.
fn check_withdrawals(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("what leaves or is out stays quiet", "configuration");
    let attempts: HashMap<&str, &Attempt> =
        evidence.attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    for run in &evidence.runs {
        let Some(attempt) = attempts.get(run.request.as_str()) else { continue };
        let departed = evidence.departures.iter().any(|departure| {
            departure.instance == run.instance
                && run.at > departure.at + bounds.drain
                && attempt.sent > departure.at + bounds.drain
        });
        let out = evidence.outs.iter().any(|out| {
            out.data_centre == crate::estate::data_centre(run.upstream)
                && run.at > out.from + bounds.out
                && attempt.sent > out.from + bounds.out
                && run.at < out.to
        });
        if departed || out {
            let broken = is_settled(evidence, attempt, bounds);
            promise.record_case(broken.then(|| format!("{run:?} of {attempt:?}")));
        } else if evidence.is_any_out_of_service(run.at) {
            promise.record_case(None);
        }
    }
    promise
}

/// Checks that a planned stop of a gateway breaks off no response, unless a fault disturbed the
/// gateway or an upstream that executed the request.
fn check_stops(evidence: &Evidence, runs: &Runs<'_>, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("a planned stop cuts off nothing", "drain");
    for attempt in &evidence.attempts {
        let stop = evidence.stops.iter().find(|stop| {
            (stop.gateway, stop.life) == (attempt.gateway, attempt.life) && stop.at < attempt.ended
        });
        let Some(stop) = stop else { continue };
        let from = attempt.sent.min(stop.at).saturating_sub(bounds.settle);
        let request_runs = runs.get(attempt.id.as_str());
        let is_undisturbed =
            evidence.is_undisturbed(Component::Gateway(attempt.gateway), from, attempt.ended)
                && request_runs.is_none_or(|runs| {
                    runs.iter().all(|run| {
                        evidence.is_undisturbed(
                            Component::Upstream(run.upstream),
                            from,
                            attempt.ended,
                        )
                    })
                });
        if !is_undisturbed {
            continue;
        }
        let late = attempt.ended > attempt.sent + bounds.close_race;
        let broken = attempt.end == End::Broken && (request_runs.is_some() || late);
        promise.record_case(broken.then(|| format!("{stop:?}: {attempt:?}")));
    }
    promise
}

/// Checks that gateway processes only exit when the soak stops or kills them.
fn check_processes(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("processes live until they are ended", "process");
    promise.record_case(None);
    for end in &evidence.unexpected_exits {
        promise.record_case(Some(end.clone()));
    }
    promise
}

/// Checks that all requests with a valid API key succeed again some time after the last fault.
fn check_recovery(evidence: &Evidence, runs: &Runs<'_>, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("all is served again after the faults", "recovery");
    let from = evidence.undisturbed_from + bounds.settle + bounds.settle;
    for attempt in evidence.attempts.iter().filter(|attempt| attempt.sent > from) {
        let valid = evidence.keys[attempt.key].revoked.is_none();
        if valid && attempt.end != End::Left {
            let request_runs = runs.get(attempt.id.as_str());
            promise.record_case(
                (!attempt.is_served()).then(|| format!("{attempt:?}, {request_runs:?}")),
            );
        }
    }
    promise
}

/// Number of upstreams that a request may end before it counts as harmful, and of times that it may
/// reach an upstream after that.
const HARMFUL_RUNS: usize = 3;

/// Checks that a request that ends each upstream which runs it stops reaching them: some time after
/// the third, undisturbed gateways send it a few times more at most.
fn check_harmful_runs(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("a request that crashes upstreams is stopped", "blame");
    for kind in KINDS {
        let of_kind = |run: &&HarmfulRun| run.kind == kind;
        let mut runs: Vec<&HarmfulRun> = evidence.harmful_runs.iter().filter(of_kind).collect();
        runs.sort_by_key(|run| run.at);
        let Some(third) = runs.get(HARMFUL_RUNS - 1) else { continue };
        let counts = |run: &&&HarmfulRun| {
            let from = run.at.saturating_sub(bounds.settle);
            run.at > third.at + bounds.settle
                && [Component::Gateway(run.gateway), Component::Store]
                    .iter()
                    .all(|component| evidence.is_undisturbed(*component, from, run.at))
        };
        let late: Vec<_> = runs.iter().filter(counts).collect();
        let broken = late.len() > HARMFUL_RUNS;
        promise.record_case(broken.then(|| format!("{late:?} after {third:?}")));
    }
    promise
}
