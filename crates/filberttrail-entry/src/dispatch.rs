//! Finds an upstream for a call, and another one where that is safe.
//!
//! Invariant: an unrepeatable call is offered again only after its last attempt was proved not run,
//! or under a key whose claim decides who runs.

use crate::answering::{Answering, Event};
use crate::call::{Call, Target};
use crate::hub::Hub;
use crate::journal::Decision;
use crate::upstream::Upstream;
use filberttrail_declare::View;
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

/// The most tries of one call.
const TRIES: u32 = 8;
/// How long an entry waits to hear whether a withdrawn attempt was run.
const SETTLE: Duration = Duration::from_millis(2_000);
/// When to come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time to reach an upstream in the same data centre and back.
const NEAR: Duration = Duration::from_micros(100);
/// Time to reach another data centre of the region and back.
const REGION: Duration = Duration::from_micros(500);
/// Time to reach another region and back.
const FAR: Duration = Duration::from_millis(40);

/// An answer whose head has arrived.
pub struct Answer {
    /// The head.
    pub head: Head,
    /// What follows.
    pub events: Answering,
    /// Who answers.
    pub upstream: Arc<Upstream>,
    /// The number of the attempt.
    pub number: u64,
}

/// What to do after an attempt that brought no answer.
enum Next {
    /// Try another upstream.
    Again(Cause),
    /// Give up.
    Stop(Box<Problem>),
}

/// Runs a call until there is the head of an answer or a final refusal.
pub async fn dispatch(hub: &Hub, call: &Call) -> Result<Answer, Problem> {
    let began = hub.clock.now();
    let mut excluded = HashSet::new();
    let mut cause = "first try".to_string();
    hub.routing().budget.deposit();
    for _ in 0..TRIES {
        let upstream = find(hub, call, &mut excluded, began, &cause).await?;
        let left = hub.settings.request_wait.saturating_sub(hub.clock.now() - began);
        let failure = match attempt(hub, call, &upstream, left).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        excluded.insert(upstream.name.clone());
        match judge(hub, call, &failure) {
            Next::Stop(problem) => return Err(refuse(hub, call, *problem, failure.cause)),
            Next::Again(again) => cause = format!("after {again}"),
        }
        hub.metrics.retries.inc();
    }
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no upstream took it", "try later")
        .with_retry_after(RETRY_AFTER);
    Err(refuse(hub, call, problem, Cause::Full))
}

/// Finds an upstream with room, waiting for one as long as the preset allows.
async fn find(
    hub: &Hub,
    call: &Call,
    excluded: &mut HashSet<String>,
    began: Duration,
    cause: &str,
) -> Result<Arc<Upstream>, Problem> {
    loop {
        let changed = hub.pool.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let Some(view) = hub.view() else {
            let problem = unavailable("no configuration yet", "try again in a moment");
            return Err(refuse(hub, call, problem, Cause::Platform));
        };
        if let Some(upstream) = choose(hub, &view, call, excluded, cause) {
            return Ok(upstream);
        }
        let patience = view.preset.queue_wait().min(hub.settings.request_wait);
        let left = patience.saturating_sub(hub.clock.now() - began);
        if left.is_zero() {
            let problem = unavailable("all upstreams are full", "try again later");
            return Err(refuse(hub, call, problem, Cause::Full));
        }
        // Those that refused may take it now.
        excluded.clear();
        let _ = tokio::time::timeout(left, changed).await;
    }
}

fn unavailable(title: &str, detail: &str) -> Problem {
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, title, detail).with_retry_after(RETRY_AFTER)
}

fn refuse(hub: &Hub, call: &Call, problem: Problem, cause: Cause) -> Problem {
    hub.metrics.refusals.with_label_values(&[&cause.to_string()]).inc();
    problem.with_request(&call.id)
}

fn choose(
    hub: &Hub,
    view: &View,
    call: &Call,
    excluded: &HashSet<String>,
    cause: &str,
) -> Option<Arc<Upstream>> {
    let outs = hub.settings.without.has(Mechanism::Outs);
    let declared = match &call.target {
        Target::Model(model) => view.upstreams_of_model(model),
        Target::Service(service) => view.upstreams_of_service(service),
    };
    let in_service = declared.iter().filter(|item| !outs || !view.is_out(item));
    let usable = in_service.filter(|item| !excluded.contains(&item.name));
    let known: Vec<(Arc<Upstream>, Candidate)> = usable
        .filter_map(|item| hub.pool.find(&item.name))
        .filter_map(|upstream| Some((upstream.clone(), candidate(hub, view, call, &upstream)?)))
        .collect();
    let candidates: Vec<Candidate> = known.iter().map(|(_, candidate)| candidate.clone()).collect();
    let mut request = call.route.clone();
    request.sequence = hub.next_number();
    let choice = match &call.key {
        Some(key) => choose_keyed(u64::from(key.shard), &candidates),
        None => hub.policy.choose(&request, &candidates, &mut hub.routing().random),
    };
    let chosen = choice.as_ref().map(|choice| known[choice.index].0.clone());
    let names = known.iter().map(|(upstream, _)| upstream.name.clone());
    let scores = choice.map_or_else(|| vec![0.0; known.len()], |choice| choice.scores);
    hub.journal.note(Decision {
        request: call.id.clone(),
        candidates: names.zip(scores).collect(),
        choice: chosen.as_ref().map(|upstream| upstream.name.clone()),
        cause: if chosen.is_some() { cause.to_string() } else { "no room".to_string() },
    });
    if let Some(upstream) = &chosen {
        let now = hub.clock.now();
        hub.routing().prefixes.record(&call.route.prefixes, upstream.id, now);
    }
    chosen
}

/// Picks the regular writer of a key's claims object, so that writers seldom meet.
fn choose_keyed(shard: u64, candidates: &[Candidate]) -> Option<Choice> {
    let scores: Vec<f64> =
        candidates.iter().map(|candidate| -(mix(shard, candidate.id) as f64)).collect();
    let open = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let index = open.min_by(|left, right| scores[*left].total_cmp(&scores[*right]))?;
    Some(Choice { index, scores })
}

fn candidate(hub: &Hub, view: &View, call: &Call, upstream: &Upstream) -> Option<Candidate> {
    let (load, sent) = upstream.load()?;
    let now = hub.clock.now();
    let cached =
        hub.routing().prefixes.estimate_cached_tokens(&call.route.prefixes, upstream.id, now);
    Some(Candidate {
        id: upstream.id,
        reported_load: load.in_flight,
        sent_since_report: sent,
        concurrency_limit: load.limit,
        step_time: Duration::from_micros(load.step_us),
        round_trip: distance(view, &hub.settings.data_centre, &upstream.data_centre),
        cached_tokens: cached,
    })
}

fn distance(view: &View, from: &str, to: &str) -> Duration {
    if from == to {
        NEAR
    } else if view.region_of(from) == view.region_of(to) {
        REGION
    } else {
        FAR
    }
}

/// Offers the call to an upstream, and waits for the head of its answer.
async fn attempt(
    hub: &Hub,
    call: &Call,
    upstream: &Arc<Upstream>,
    patience: Duration,
) -> Result<Answer, Failure> {
    let number = hub.next_number();
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
        patience_ms: patience.as_millis() as u64,
    };
    let Some(mut events) = upstream.offer(offer) else {
        return Err(Failure { ran: Ran::No, cause: Cause::Unreachable, retry_after_ms: 1_000 });
    };
    let mut guard = Abandon { upstream, number, armed: call.repeatable };
    let mut first = tokio::time::timeout(patience, events.recv()).await;
    if first.is_err() {
        upstream.withdraw(number);
        first = tokio::time::timeout(SETTLE, events.recv()).await;
    }
    guard.armed = false;
    match first {
        Ok(Some(Event::Head(head))) => {
            Ok(Answer { head, events, upstream: upstream.clone(), number })
        }
        Ok(Some(Event::Failed(failure))) => Err(failure),
        _ => {
            let cause = Cause::TimedOut;
            upstream.cancel(number);
            Err(Failure { ran: Ran::Unknown, cause, retry_after_ms: 1_000 })
        }
    }
}

/// Cancels a repeatable attempt whose caller goes before the head arrives.
struct Abandon<'a> {
    upstream: &'a Upstream,
    number: u64,
    armed: bool,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream.cancel(self.number);
        }
    }
}

fn judge(hub: &Hub, call: &Call, failure: &Failure) -> Next {
    let after = Duration::from_millis(failure.retry_after_ms);
    let stop = |status, title: &str, detail: &str| {
        let problem = Problem::new(status, title, detail);
        let problem = match failure.ran {
            Ran::No => problem,
            Ran::Unknown => problem.with_unknown(),
        };
        Next::Stop(Box::new(problem.with_retry_after(after)))
    };
    if failure.ran == Ran::Unknown && !hub.settings.without.has(Mechanism::Ledger) {
        // The naive way: what brought no answer is taken for not run.
        return Next::Again(failure.cause);
    }
    match (failure.cause, failure.ran) {
        (Cause::KeyMismatch, _) => {
            let detail = "the key was used for a different request: use a new key";
            let problem = Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "key reused", detail);
            Next::Stop(Box::new(problem))
        }
        (Cause::KeyInUse, _) => {
            let detail = "the key's first request has no known outcome: ask for it by other means";
            stop(StatusCode::CONFLICT, "key in use", detail)
        }
        (Cause::Platform, _) => {
            let detail = "keys cannot be claimed at present: try again with the same key";
            stop(StatusCode::SERVICE_UNAVAILABLE, "claims unavailable", detail)
        }
        (Cause::ClaimsFull, _) => {
            let detail = "too many keys are remembered: try later";
            stop(StatusCode::SERVICE_UNAVAILABLE, "claims full", detail)
        }
        // Nothing was run, so that trying elsewhere costs no upstream anything.
        (cause, Ran::No) => Next::Again(cause),
        (cause, Ran::Unknown) if call.repeatable || call.key.is_some() => {
            if hub.routing().budget.withdraw() {
                return Next::Again(cause);
            }
            stop(StatusCode::SERVICE_UNAVAILABLE, "retries spent", "too many requests fail")
        }
        (Cause::TimedOut, Ran::Unknown) => {
            let detail = "the upstream did not answer in time: it may have run; do not repeat it";
            stop(StatusCode::GATEWAY_TIMEOUT, "no answer", detail)
        }
        (_, Ran::Unknown) => {
            let detail = "the answer was lost: it may have run; do not repeat it blindly";
            stop(StatusCode::BAD_GATEWAY, "answer lost", detail)
        }
    }
}
