//! Judges evidence, promise by promise.

use crate::evidence::{Attempt, End, Evidence, Run, Touched};
use filberttrail_bench::failures::{Promise, Report};
use filberttrail_fleet::budget::Terms;
use filberttrail_platform_stand_in::{Kind, caller};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// What the promises allow. The figures are the platform's pages'.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A machine undisturbed for so long is bound by the promises that have a time.
    pub settle: Duration,
    /// Configuration is in force.
    pub apply: Duration,
    /// A newer configuration once seen stays, but for so long.
    pub rollback: Duration,
    /// An upstream that leaves gets nothing more.
    pub drain: Duration,
    /// A data centre out of service gets nothing more.
    pub out: Duration,
    /// What is sent while a connection closes may be lost for so long.
    pub loss: Duration,
    /// Repeats of requests.
    pub retries: Terms,
}

/// Judges a run.
pub fn judge(seed: u64, evidence: &Evidence, bounds: &Bounds) -> Report {
    let mut report = Report::new(seed);
    let runs = runs_by_request(evidence);
    report.add(answers_are_own_and_whole(evidence));
    report.add(streams_are_in_order(evidence));
    report.add(nothing_runs_twice(evidence, &runs));
    report.add(refusals_are_true(evidence, &runs));
    report.add(requests_arrive_unchanged(evidence));
    report.add(repeats_stay_in_their_budget(evidence, bounds));
    report.add(keys_are_in_force(evidence, bounds));
    report.add(configuration_never_reverts(evidence, bounds));
    report.add(what_leaves_stays_quiet(evidence, bounds));
    report.add(stops_cut_off_nothing(evidence, &runs, bounds));
    report.add(processes_live_on(evidence));
    report.add(all_is_served_again(evidence, &runs, bounds));
    report
}

type Runs<'a> = HashMap<&'a str, Vec<&'a Run>>;

fn runs_by_request(evidence: &Evidence) -> Runs<'_> {
    let mut runs: Runs<'_> = HashMap::new();
    for run in &evidence.runs {
        runs.entry(&run.request).or_default().push(run);
    }
    runs
}

fn is_repeatable(kind: Kind) -> bool {
    kind != Kind::Pay
}

fn answers_are_own_and_whole(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("answers are own and whole", "proof");
    for attempt in &evidence.attempts {
        if let End::Answered { status: 200..=299, own, whole } = attempt.end {
            let broken = !(own && whole);
            promise.record_case(broken.then(|| format!("{attempt:?}")));
        }
    }
    promise
}

fn streams_are_in_order(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("streams are in order", "events");
    let whole = caller::stream_body();
    for attempt in evidence.attempts.iter().filter(|attempt| attempt.kind == Kind::Stream) {
        let broken = !attempt.part.is_empty() && !whole.starts_with(&attempt.part);
        promise.record_case(broken.then(|| format!("{attempt:?}")));
    }
    promise
}

fn nothing_runs_twice(evidence: &Evidence, runs: &Runs<'_>) -> Promise {
    let mut promise = Promise::new("nothing unrepeatable runs twice", "attempts");
    for attempt in evidence.attempts.iter().filter(|attempt| !is_repeatable(attempt.kind)) {
        let ran = runs.get(attempt.id.as_str()).map_or(0, Vec::len);
        promise.record_case((ran > 1).then(|| format!("{ran} runs of {attempt:?}")));
    }
    promise
}

fn refusals_are_true(evidence: &Evidence, runs: &Runs<'_>) -> Promise {
    let mut promise = Promise::new("what was refused did not run", "proof");
    for attempt in evidence.attempts.iter().filter(|attempt| !is_repeatable(attempt.kind)) {
        if let End::Answered { status: 408 | 421 | 429 | 503, .. } = attempt.end {
            let ran = runs.contains_key(attempt.id.as_str());
            promise.record_case(ran.then(|| format!("it ran: {attempt:?}")));
        }
    }
    promise
}

fn requests_arrive_unchanged(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("upstreams get what callers sent", "headers");
    let known: HashSet<&str> =
        evidence.attempts.iter().map(|attempt| attempt.id.as_str()).collect();
    for run in &evidence.runs {
        let right = run.faithful && known.contains(run.request.as_str());
        promise.record_case((!right).then(|| format!("{run:?}")));
    }
    promise
}

fn repeats_stay_in_their_budget(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("repeats stay in their budget", "budget");
    let mut seen = HashSet::new();
    let mut runs: Vec<&Run> = evidence.runs.iter().collect();
    runs.sort_by_key(|run| run.at);
    let repeats: Vec<Duration> =
        runs.iter().filter(|run| !seen.insert(&run.request)).map(|run| run.at).collect();
    let sent: Vec<Duration> = evidence.attempts.iter().map(|attempt| attempt.sent).collect();
    let count = |times: &[Duration], from: Duration, to: Duration| {
        times.iter().filter(|time| (from..to).contains(*time)).count() as f64
    };
    for (index, &to) in repeats.iter().enumerate() {
        let from = to.saturating_sub(bounds.retries.span);
        let repeated = repeats[..=index].iter().filter(|time| **time >= from).count() as f64;
        let allowed = bounds.retries.ratio * count(&sent, from, to) + bounds.retries.slack;
        let broken = repeated > allowed;
        promise.record_case(broken.then(|| format!("{repeated} of {allowed:.0} up to {to:?}")));
    }
    promise
}

fn is_bound(evidence: &Evidence, attempt: &Attempt, bounds: &Bounds) -> bool {
    let from = attempt.sent.saturating_sub(bounds.settle);
    [Touched::Gateway(attempt.gateway), Touched::Store]
        .iter()
        .all(|touched| evidence.is_calm(*touched, from, attempt.ended))
}

fn keys_are_in_force(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("keys are in force in time", "configuration");
    for attempt in &evidence.attempts {
        let key = evidence.keys[attempt.key];
        let in_force = attempt.sent > key.added + bounds.apply;
        let revoked = key.revoked.is_some_and(|at| attempt.sent > at + bounds.apply);
        if !is_bound(evidence, attempt, bounds) || !(in_force || revoked) {
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

fn configuration_never_reverts(evidence: &Evidence, bounds: &Bounds) -> Promise {
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

fn what_leaves_stays_quiet(evidence: &Evidence, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("what leaves or is out stays quiet", "configuration");
    let attempts: HashMap<&str, &Attempt> =
        evidence.attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    for run in &evidence.runs {
        let Some(attempt) = attempts.get(run.request.as_str()) else { continue };
        let left = evidence.leaves.iter().any(|leave| {
            leave.instance == run.instance
                && run.at > leave.at + bounds.drain
                && attempt.sent > leave.at + bounds.drain
        });
        let out = evidence.outs.iter().any(|out| {
            out.data_centre == crate::estate::data_centre(run.upstream)
                && run.at > out.from + bounds.out
                && attempt.sent > out.from + bounds.out
                && run.at < out.to
        });
        if left || out {
            let broken = is_bound(evidence, attempt, bounds);
            promise.record_case(broken.then(|| format!("{run:?} of {attempt:?}")));
        } else if evidence.is_any_away(run.at) {
            promise.record_case(None);
        }
    }
    promise
}

fn stops_cut_off_nothing(evidence: &Evidence, runs: &Runs<'_>, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("a planned stop cuts off nothing", "drain");
    for attempt in &evidence.attempts {
        let stop = evidence.stops.iter().find(|stop| {
            (stop.gateway, stop.life) == (attempt.gateway, attempt.life) && stop.at < attempt.ended
        });
        let Some(stop) = stop else { continue };
        let from = attempt.sent.min(stop.at).saturating_sub(bounds.settle);
        let ran_at = runs.get(attempt.id.as_str());
        let calm = evidence.is_calm(Touched::Gateway(attempt.gateway), from, attempt.ended)
            && ran_at.is_none_or(|runs| {
                runs.iter().all(|run| {
                    evidence.is_calm(Touched::Upstream(run.upstream), from, attempt.ended)
                })
            });
        if !calm {
            continue;
        }
        let late = attempt.ended > attempt.sent + bounds.loss;
        let broken = attempt.end == End::Broken && (ran_at.is_some() || late);
        promise.record_case(broken.then(|| format!("{stop:?}: {attempt:?}")));
    }
    promise
}

fn processes_live_on(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("processes live until they are ended", "process");
    promise.record_case(None);
    for end in &evidence.own_ends {
        promise.record_case(Some(end.clone()));
    }
    promise
}

fn all_is_served_again(evidence: &Evidence, runs: &Runs<'_>, bounds: &Bounds) -> Promise {
    let mut promise = Promise::new("all is served again after the faults", "recovery");
    let from = evidence.calm_from + bounds.settle + bounds.settle;
    for attempt in evidence.attempts.iter().filter(|attempt| attempt.sent > from) {
        let valid = evidence.keys[attempt.key].revoked.is_none();
        if valid && attempt.end != End::Left {
            let ran = runs.get(attempt.id.as_str());
            promise.record_case((!attempt.is_served()).then(|| format!("{attempt:?}, {ran:?}")));
        }
    }
    promise
}
