//! The verdict on recorded evidence: no promise is broken by the evidence of a correct run, and
//! each one is reported as broken once the evidence contains a violation.

use filberttrail_bench::failures::Report;
use filberttrail_platform_stand_in::Kind;
use filberttrail_soak::evidence::{
    Attempt, Component, Departure, Disturbance, End, Evidence, HarmfulRun, Key, Out, Run, Stop,
};
use filberttrail_soak::run::BOUNDS;
use filberttrail_soak::verdict::judge;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SUCCESS: End = End::Answered { status: 200, own: true, whole: true };

fn status(status: u16) -> End {
    End::Answered { status, own: false, whole: false }
}

/// Builds the evidence of a correct run: for 60 s one request every 10 ms, of alternating kinds,
/// each executed once. The first API key is revoked at 20 s, the gateway stops at 30 s, an upstream
/// begins to drain at 40 s, and a data centre is out of service from 50 s to 58 s.
fn create_correct_evidence() -> Evidence {
    let mut evidence = Evidence {
        keys: vec![
            Key { added: Duration::ZERO, revoked: Some(20_000 * MS) },
            Key { added: 18_000 * MS, revoked: None },
        ],
        stops: vec![Stop { gateway: 0, life: 1, at: 30_000 * MS }],
        departures: vec![Departure { instance: "u-1".into(), at: 40_000 * MS }],
        outs: vec![Out { data_centre: 1, from: 50_000 * MS, to: 58_000 * MS }],
        undisturbed_from: 50_000 * MS,
        ..Evidence::default()
    };
    for number in 0..6_000_u32 {
        let sent = number * 10 * MS;
        let id = format!("call-{number}");
        let kind = [Kind::Read, Kind::Pay, Kind::Stream][number as usize % 3];
        let key = usize::from(sent > 19_000 * MS);
        let life = if sent < 30_000 * MS { 1 } else { 2 };
        evidence.attempts.push(Attempt {
            id: id.clone(),
            kind,
            gateway: 0,
            life,
            key,
            sent,
            ended: sent + 5 * MS,
            end: SUCCESS,
            part: String::new(),
        });
        let at = sent + MS;
        let instance = "u-0".to_string();
        evidence.runs.push(Run { request: id, upstream: 0, instance, at, faithful: true });
    }
    evidence
}

fn find_broken_promises(evidence: &Evidence) -> Vec<String> {
    let Report { promises, .. } = judge(1, evidence, &BOUNDS);
    let broken = promises.into_iter().filter(|promise| promise.violations > 0);
    broken.map(|promise| promise.promise).collect()
}

/// Returns the attempt that was sent at this time.
fn attempt_sent_at(evidence: &mut Evidence, sent: Duration) -> &mut Attempt {
    let found = evidence.attempts.iter_mut().find(|attempt| attempt.sent == sent);
    found.expect("an attempt at that time")
}

#[test]
fn evidence_of_a_correct_run_breaks_no_promise() {
    assert_eq!(find_broken_promises(&create_correct_evidence()), Vec::<String>::new());
}

#[test]
fn reports_a_response_that_is_incomplete_or_not_from_the_upstream() {
    for (own, whole) in [(false, true), (true, false)] {
        let mut evidence = create_correct_evidence();
        attempt_sent_at(&mut evidence, 5_000 * MS).end = End::Answered { status: 200, own, whole };
        assert_eq!(find_broken_promises(&evidence), ["answers are own and whole"]);
    }
}

#[test]
fn reports_a_gap_in_an_event_stream() {
    let mut evidence = create_correct_evidence();
    let stream = evidence.attempts.iter_mut().find(|attempt| attempt.kind == Kind::Stream);
    let stream = stream.expect("a stream");
    stream.end = End::Broken;
    stream.part = "id: 1\ndata: event 1\n\nid: 3\ndata: event 3\n\n".into();
    assert_eq!(find_broken_promises(&evidence), ["streams are in order"]);
}

#[test]
fn reports_a_payment_that_ran_twice() {
    let mut evidence = create_correct_evidence();
    let payment = evidence.runs[1].clone();
    evidence.runs.push(payment);
    assert_eq!(find_broken_promises(&evidence), ["nothing unrepeatable runs twice"]);
}

#[test]
fn reports_a_refused_payment_that_ran() {
    for refusal in [408, 421, 429, 503] {
        let mut evidence = create_correct_evidence();
        evidence.attempts[1].end = status(refusal);
        assert_eq!(find_broken_promises(&evidence), ["what was refused did not run"]);
    }
}

#[test]
fn reports_changed_and_unknown_requests() {
    let mut evidence = create_correct_evidence();
    evidence.runs[4].faithful = false;
    assert_eq!(find_broken_promises(&evidence), ["upstreams get what callers sent"]);
    let mut evidence = create_correct_evidence();
    evidence.runs[3].request = "nobody's".into();
    assert_eq!(find_broken_promises(&evidence), ["upstreams get what callers sent"]);
}

#[test]
fn reports_retries_beyond_the_budget() {
    let mut evidence = create_correct_evidence();
    let allowed = 0.2 * 1_000.0 + 90.0;
    let reads: Vec<Run> = evidence.runs.iter().step_by(3).take(330).cloned().collect();
    assert!(reads.len() as f64 > allowed);
    evidence.runs.extend(reads);
    assert_eq!(find_broken_promises(&evidence), ["repeats stay in their budget"]);
}

#[test]
fn reports_revoked_keys_that_work_and_valid_keys_that_are_rejected() {
    let mut evidence = create_correct_evidence();
    attempt_sent_at(&mut evidence, 24_000 * MS).key = 0;
    assert_eq!(find_broken_promises(&evidence), ["keys are in force in time"]);
    let mut evidence = create_correct_evidence();
    attempt_sent_at(&mut evidence, 24_000 * MS).end = status(401);
    assert_eq!(find_broken_promises(&evidence), ["keys are in force in time"]);
}

#[test]
fn a_disturbed_gateway_may_apply_keys_late_but_not_revert() {
    let mut evidence = create_correct_evidence();
    let component = Component::Gateway(0);
    let span = Disturbance { from: 21_000 * MS, to: 26_000 * MS, component, planned: false };
    evidence.disturbances.push(span);
    attempt_sent_at(&mut evidence, 24_000 * MS).key = 0;
    assert_eq!(find_broken_promises(&evidence), Vec::<String>::new());
    let denied = attempt_sent_at(&mut evidence, 23_000 * MS);
    denied.key = 0;
    denied.end = status(401);
    assert_eq!(find_broken_promises(&evidence), ["configuration never reverts"]);
}

#[test]
fn reports_requests_to_departed_upstreams_and_data_centres_out_of_service() {
    let mut evidence = create_correct_evidence();
    evidence.runs[4_400].instance = "u-1".into();
    assert_eq!(find_broken_promises(&evidence), ["what leaves or is out stays quiet"]);
    let mut evidence = create_correct_evidence();
    evidence.runs[5_600].upstream = 1;
    assert_eq!(find_broken_promises(&evidence), ["what leaves or is out stays quiet"]);
}

#[test]
fn reports_responses_cut_off_by_a_stop_unless_the_upstream_was_disturbed() {
    let mut evidence = create_correct_evidence();
    let cut = attempt_sent_at(&mut evidence, 29_990 * MS);
    cut.ended = 30_020 * MS;
    cut.end = End::Broken;
    assert_eq!(find_broken_promises(&evidence), ["a planned stop cuts off nothing"]);
    let component = Component::Upstream(0);
    let span = Disturbance { from: 29_000 * MS, to: 31_000 * MS, component, planned: false };
    evidence.disturbances.push(span);
    assert_eq!(find_broken_promises(&evidence), Vec::<String>::new());
}

#[test]
fn reports_a_process_that_exits_unexpectedly() {
    let mut evidence = create_correct_evidence();
    evidence.unexpected_exits.push("gateway 0".into());
    assert_eq!(find_broken_promises(&evidence), ["processes live until they are ended"]);
}

#[test]
fn reports_a_request_that_fails_after_the_faults() {
    let mut evidence = create_correct_evidence();
    attempt_sent_at(&mut evidence, 59_000 * MS).end = status(502);
    assert_eq!(find_broken_promises(&evidence), ["all is served again after the faults"]);
}

#[test]
fn detects_a_harmful_request_that_goes_on_to_reach_upstreams() {
    let mut evidence = create_correct_evidence();
    let run = |at: u32| HarmfulRun { kind: Kind::Read, gateway: 0, at: at * MS };
    evidence.harmful_runs = [1_000, 1_100, 1_200, 6_000, 6_100, 6_200].map(run).to_vec();
    let other = [7_000, 7_100].map(|at| HarmfulRun { kind: Kind::Pay, ..run(at) });
    evidence.harmful_runs.extend(other);
    assert_eq!(find_broken_promises(&evidence), Vec::<String>::new(), "three more are allowed");
    evidence.harmful_runs.push(run(40_000));
    let broken = find_broken_promises(&evidence);
    assert_eq!(broken, ["a request that crashes upstreams is stopped"]);
    // A gateway that was frozen shortly before may not know of it yet.
    evidence.disturbances.push(Disturbance {
        from: 39_000 * MS,
        to: 39_500 * MS,
        component: Component::Gateway(0),
        planned: false,
    });
    assert_eq!(find_broken_promises(&evidence), Vec::<String>::new());
}
