//! Dispatches a call to an upstream, and retries on another upstream where that is safe.
//!
//! Invariant: an unrepeatable call is retried only if its last attempt is proved not to have run,
//! or if it has an idempotency key, whose claim ensures that only one attempt runs.

use crate::call::{Call, Target};
use crate::context::Context;
use crate::events::{Event, Receiver};
use crate::journal::Decision;
use crate::upstream::Upstream;
use filberttrail_declare::View;
use filberttrail_declare::model;
use filberttrail_fleet::blame::{self, CONDEMNED_LIFETIME, choose_trial_places};
use filberttrail_kernel::Mechanism;
use filberttrail_kernel::digest::mix;
use filberttrail_protocol::frame::{Failure, Head};
use filberttrail_protocol::{Cause, Offer, Ran};
use filberttrail_route::Candidate;
use filberttrail_route::policy::Choice;
use filberttrail_web::Problem;
use hyper::StatusCode;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 8;
/// The timeout for the sidecar to report whether a withdrawn attempt was run.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The suggested delay before a retry when no better estimate is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The suggested delay before a retry of a request that is suspected to crash upstreams. Whether it may
/// be tried is known by then.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The delay before an attempt after one under which an upstream crashed, so that all sidecars know by
/// then what the crash accuses.
const NEWS_DELAY: Duration = Duration::from_millis(200);
/// The assumed round-trip time to an upstream in the same data centre.
const SAME_DATA_CENTRE_RTT: Duration = Duration::from_micros(100);
/// The assumed round-trip time to another data centre of the same region.
const SAME_REGION_RTT: Duration = Duration::from_micros(500);
/// The assumed round-trip time to another region.
const OTHER_REGION_RTT: Duration = Duration::from_millis(40);

/// An upstream's response whose head has arrived.
pub struct UpstreamResponse {
    /// The response head.
    pub head: Head,
    /// The events that follow the head.
    pub events: Receiver,
    /// The upstream that responds.
    pub upstream: Arc<Upstream>,
    /// The number of the attempt.
    pub number: u64,
}

/// What to do after a failed attempt.
enum Next {
    /// Retry on another upstream.
    Retry(Cause),
    /// Fail the call with this problem.
    Fail(Box<Problem>),
}

/// Which upstreams an attempt may be sent to.
#[derive(Default)]
struct Candidates {
    /// Those that earlier attempts have excluded.
    excluded: HashSet<String>,
    /// Those that may try the call if it is a suspect; `None` if it is none.
    trial_places: Option<Vec<String>>,
}

impl Candidates {
    fn contain(&self, name: &String) -> bool {
        let is_place = self.trial_places.as_ref().is_none_or(|places| places.contains(name));
        is_place && !self.excluded.contains(name)
    }
}

/// Runs a call until a response head arrives or no further attempt is possible. If an attempt of an
/// unrepeatable call may have run, a later refusal doesn't say that the call did not run.
pub async fn dispatch(context: &Context, call: &Call) -> Result<UpstreamResponse, Problem> {
    let mut may_have_run = false;
    let result = run_attempts(context, call, &mut may_have_run).await;
    result.map_err(|problem| match may_have_run && !call.repeatable {
        true => problem.with_unknown_outcome(),
        false => problem,
    })
}

async fn run_attempts(
    context: &Context,
    call: &Call,
    may_have_run: &mut bool,
) -> Result<UpstreamResponse, Problem> {
    let started = context.clock.now();
    let mut candidates = Candidates::default();
    let mut cause = "first try".to_string();
    let mut crashed = false;
    context.routing().budget.deposit();
    for _ in 0..MAX_ATTEMPTS {
        candidates.trial_places = find_trial_places(context, call, crashed)?;
        let upstream = find_upstream(context, call, &mut candidates, started, &cause).await?;
        let remaining = context.settings.request_wait.saturating_sub(context.clock.now() - started);
        let failure = match run_attempt(context, call, &upstream, remaining, crashed).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        candidates.excluded.insert(upstream.name.clone());
        *may_have_run |= failure.ran == Ran::Unknown;
        match decide_next(context, call, &failure) {
            Next::Fail(problem) => return Err(refuse(context, call, *problem, failure.cause)),
            Next::Retry(previous) => cause = format!("after {previous}"),
        }
        if failure.cause == Cause::Crashed {
            crashed = true;
            tokio::time::sleep(NEWS_DELAY).await;
        }
        context.metrics.retries.inc();
    }
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no upstream took it", "try later")
        .with_retry_after(RETRY_AFTER);
    Err(refuse(context, call, problem, Cause::Full))
}

/// Returns the upstreams that may try a call if it is suspected to crash upstreams. Refuses a call
/// that does, or that is tried already.
fn find_trial_places(
    context: &Context,
    call: &Call,
    crashed: bool,
) -> Result<Option<Vec<String>>, Problem> {
    if !context.settings.disabled.is_enabled(Mechanism::Blame) {
        return Ok(None);
    }
    let cause = match context.blame.decide(call.subject, crashed, || true) {
        blame::Decision::Free => return Ok(None),
        blame::Decision::Trial(_) => {
            let Some(view) = context.view() else { return Ok(None) };
            let serving = upstreams_of(&view, call).into_iter().filter(|item| !view.is_out(item));
            let names: Vec<&str> = serving.map(|item| item.name.as_str()).collect();
            let places = choose_trial_places(call.subject, &names, crashed);
            return Ok(Some(places.into_iter().map(str::to_string).collect()));
        }
        blame::Decision::Suspect(_) => Cause::Suspect,
        blame::Decision::Condemned(_) => Cause::Harmful,
    };
    Err(refuse(context, call, report_blame(cause), cause))
}

/// Returns the problem of a call that must not be run for what is blamed for crashes.
fn report_blame(cause: Cause) -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match cause {
        Cause::Harmful => {
            let detail = "it crashes upstreams: change it, or come back after Retry-After";
            Problem::new(status, "harmful request", detail).with_retry_after(CONDEMNED_LIFETIME)
        }
        _ => {
            let detail = "an upstream crashed under it: come back after Retry-After";
            Problem::new(status, "suspected request", detail).with_retry_after(SUSPECT_RETRY_AFTER)
        }
    }
}

/// Returns an upstream with free capacity, waiting for one up to the preset's queue wait.
async fn find_upstream(
    context: &Context,
    call: &Call,
    candidates: &mut Candidates,
    started: Duration,
    cause: &str,
) -> Result<Arc<Upstream>, Problem> {
    loop {
        let changed = context.pool.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let Some(view) = context.view() else {
            let problem = unavailable("no configuration yet", "try again in a moment");
            return Err(refuse(context, call, problem, Cause::Platform));
        };
        if let Some(upstream) = choose(context, &view, call, candidates, cause) {
            return Ok(upstream);
        }
        if let Some(places) = &candidates.trial_places {
            let is_left = |name: &&String| candidates.contain(name);
            let mut left = places.iter().filter(is_left).filter_map(|name| context.pool.find(name));
            if !left.any(|upstream| upstream.load().is_some()) {
                let cause = Cause::Suspect;
                return Err(refuse(context, call, report_blame(cause), cause));
            }
        }
        let timeout = view.preset.queue_wait().min(context.settings.request_wait);
        let remaining = timeout.saturating_sub(context.clock.now() - started);
        if remaining.is_zero() {
            let problem = unavailable("all upstreams are full", "try again later");
            return Err(refuse(context, call, problem, Cause::Full));
        }
        // Upstreams that rejected the call earlier may have capacity by now.
        candidates.excluded.clear();
        let _ = tokio::time::timeout(remaining, changed).await;
    }
}

fn unavailable(title: &str, detail: &str) -> Problem {
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, title, detail).with_retry_after(RETRY_AFTER)
}

fn refuse(context: &Context, call: &Call, problem: Problem, cause: Cause) -> Problem {
    context.metrics.refusals.with_label_values(&[&cause.to_string()]).inc();
    problem.with_request(&call.id)
}

fn upstreams_of<'a>(view: &'a View, call: &Call) -> Vec<&'a model::Upstream> {
    match &call.target {
        Target::Model(model) => view.upstreams_of_model(model),
        Target::Service(service) => view.upstreams_of_service(service),
    }
}

fn choose(
    context: &Context,
    view: &View,
    call: &Call,
    candidates: &Candidates,
    cause: &str,
) -> Option<Arc<Upstream>> {
    let outs = context.settings.disabled.is_enabled(Mechanism::Outs);
    let declared = upstreams_of(view, call);
    let in_service = declared.iter().filter(|item| !outs || !view.is_out(item));
    let usable = in_service.filter(|item| candidates.contain(&item.name));
    let known: Vec<(Arc<Upstream>, Candidate)> = usable
        .filter_map(|item| context.pool.find(&item.name))
        .filter_map(|upstream| Some((upstream.clone(), candidate(context, view, call, &upstream)?)))
        .collect();
    let candidates: Vec<Candidate> = known.iter().map(|(_, candidate)| candidate.clone()).collect();
    let mut request = call.route.clone();
    request.sequence = context.next_number();
    let choice = match &call.key {
        Some(key) => choose_for_key(u64::from(key.shard), &candidates),
        None => context.policy.choose(&request, &candidates, &mut context.routing().random),
    };
    let chosen = choice.as_ref().map(|choice| known[choice.index].0.clone());
    let names = known.iter().map(|(upstream, _)| upstream.name.clone());
    let scores = choice.map_or_else(|| vec![0.0; known.len()], |choice| choice.scores);
    context.journal.record(Decision {
        request: call.id.clone(),
        candidates: names.zip(scores).collect(),
        choice: chosen.as_ref().map(|upstream| upstream.name.clone()),
        cause: if chosen.is_some() { cause.to_string() } else { "no room".to_string() },
    });
    if let Some(upstream) = &chosen {
        let now = context.clock.now();
        context.routing().prefixes.record(&call.route.prefixes, upstream.id, now);
    }
    chosen
}

/// Chooses the upstream for a call with an idempotency key: rendezvous hashing of its claim shard.
///
/// Each claim object is thus usually written by one upstream, which avoids write conflicts.
fn choose_for_key(shard: u64, candidates: &[Candidate]) -> Option<Choice> {
    let scores: Vec<f64> =
        candidates.iter().map(|candidate| -(mix(shard, candidate.id) as f64)).collect();
    let available = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let index = available.min_by(|left, right| scores[*left].total_cmp(&scores[*right]))?;
    Some(Choice { index, scores })
}

fn candidate(
    context: &Context,
    view: &View,
    call: &Call,
    upstream: &Upstream,
) -> Option<Candidate> {
    let (load, sent) = upstream.load()?;
    let now = context.clock.now();
    let cached =
        context.routing().prefixes.estimate_cached_tokens(&call.route.prefixes, upstream.id, now);
    Some(Candidate {
        id: upstream.id,
        reported_load: load.in_flight,
        sent_since_report: sent,
        concurrency_limit: load.limit,
        step_time: Duration::from_micros(load.step_us),
        round_trip: estimate_round_trip(view, &context.settings.data_centre, &upstream.data_centre),
        cached_tokens: cached,
    })
}

fn estimate_round_trip(view: &View, from: &str, to: &str) -> Duration {
    if from == to {
        SAME_DATA_CENTRE_RTT
    } else if view.region_of(from) == view.region_of(to) {
        SAME_REGION_RTT
    } else {
        OTHER_REGION_RTT
    }
}

/// Sends the call to an upstream and waits for the response head.
///
/// After `timeout`, withdraws the attempt and waits for the sidecar to report whether it was run.
async fn run_attempt(
    context: &Context,
    call: &Call,
    upstream: &Arc<Upstream>,
    timeout: Duration,
    crashed: bool,
) -> Result<UpstreamResponse, Failure> {
    let number = context.next_number();
    let offer = Offer {
        number,
        upstream: String::new(),
        incarnation: 0,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        repeatable: call.repeatable,
        key: call.key.clone(),
        subject: call.subject,
        crashed,
        patience_ms: timeout.as_millis() as u64,
    };
    let Some(mut events) = upstream.offer(offer) else {
        return Err(Failure { ran: Ran::No, cause: Cause::Unreachable, retry_after_ms: 1_000 });
    };
    let mut guard = CancelOnDrop { upstream, number, armed: call.repeatable };
    let mut first = tokio::time::timeout(timeout, events.recv()).await;
    if first.is_err() {
        upstream.withdraw(number);
        first = tokio::time::timeout(WITHDRAW_TIMEOUT, events.recv()).await;
    }
    guard.armed = false;
    match first {
        Ok(Some(Event::Head(head))) => {
            Ok(UpstreamResponse { head, events, upstream: upstream.clone(), number })
        }
        Ok(Some(Event::Failed(failure))) => Err(failure),
        _ => {
            let cause = Cause::TimedOut;
            upstream.cancel(number);
            Err(Failure { ran: Ran::Unknown, cause, retry_after_ms: 1_000 })
        }
    }
}

/// Cancels a repeatable attempt if its caller disconnects before the response head arrives.
struct CancelOnDrop<'a> {
    upstream: &'a Upstream,
    number: u64,
    armed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream.cancel(self.number);
        }
    }
}

fn decide_next(context: &Context, call: &Call, failure: &Failure) -> Next {
    let after = Duration::from_millis(failure.retry_after_ms);
    let fail = |status, title: &str, detail: &str| {
        let problem = Problem::new(status, title, detail);
        let problem = match failure.ran {
            Ran::No => problem,
            Ran::Unknown => problem.with_unknown_outcome(),
        };
        Next::Fail(Box::new(problem.with_retry_after(after)))
    };
    if failure.ran == Ran::Unknown && !context.settings.disabled.is_enabled(Mechanism::Ledger) {
        // For tests: assumes that an attempt without a response was not run.
        return Next::Retry(failure.cause);
    }
    match (failure.cause, failure.ran) {
        (Cause::KeyMismatch, _) => {
            let detail = "the key was used for a different request: use a new key";
            let problem = Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "key reused", detail);
            Next::Fail(Box::new(problem))
        }
        (Cause::KeyInUse, _) => {
            let detail = "the key's first request has no known outcome: ask for it by other means";
            fail(StatusCode::CONFLICT, "key in use", detail)
        }
        (Cause::Platform, _) => {
            let detail = "keys cannot be claimed at present: try again with the same key";
            fail(StatusCode::SERVICE_UNAVAILABLE, "claims unavailable", detail)
        }
        (Cause::ClaimsFull, _) => {
            let detail = "too many keys are remembered: try later";
            fail(StatusCode::SERVICE_UNAVAILABLE, "claims full", detail)
        }
        (cause @ (Cause::Suspect | Cause::Harmful), Ran::No) => {
            Next::Fail(Box::new(report_blame(cause)))
        }
        // Nothing was run, so a retry adds no load and is not charged to the retry budget.
        (cause, Ran::No) => Next::Retry(cause),
        (cause, Ran::Unknown) if call.repeatable || call.key.is_some() => {
            if context.routing().budget.withdraw() {
                return Next::Retry(cause);
            }
            fail(StatusCode::SERVICE_UNAVAILABLE, "retries spent", "too many requests fail")
        }
        (Cause::TimedOut, Ran::Unknown) => {
            let detail = "the upstream did not answer in time: it may have run; do not repeat it";
            fail(StatusCode::GATEWAY_TIMEOUT, "no answer", detail)
        }
        (_, Ran::Unknown) => {
            let detail = "the answer was lost: it may have run; do not repeat it blindly";
            fail(StatusCode::BAD_GATEWAY, "answer lost", detail)
        }
    }
}
