//! Each promise holds on evidence of a sound run, and is found broken once the evidence is changed.

use filberttrail_bench::failures::Report;
use filberttrail_platform_stand_in::Kind;
use filberttrail_soak::evidence::{
    Attempt, End, Evidence, Key, Leave, Out, Run, Span, Stop, Touched,
};
use filberttrail_soak::run::BOUNDS;
use filberttrail_soak::verdict::judge;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const ANSWER: End = End::Answered { status: 200, own: true, whole: true };

fn status(status: u16) -> End {
    End::Answered { status, own: false, whole: false }
}

/// A request of each kind each 10 ms for 60 s, each run once; the key changes at 20 s, a gateway
/// stops at 30 s, an upstream leaves at 40 s and a data centre is out from 50 s on.
fn sound() -> Evidence {
    let mut evidence = Evidence {
        keys: vec![
            Key { added: Duration::ZERO, revoked: Some(20_000 * MS) },
            Key { added: 18_000 * MS, revoked: None },
        ],
        stops: vec![Stop { gateway: 0, life: 1, at: 30_000 * MS }],
        leaves: vec![Leave { instance: "u-1".into(), at: 40_000 * MS }],
        outs: vec![Out { data_centre: 1, from: 50_000 * MS, to: 58_000 * MS }],
        calm_from: 50_000 * MS,
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
            end: ANSWER,
            part: String::new(),
        });
        let at = sent + MS;
        let instance = "u-0".to_string();
        evidence.runs.push(Run { request: id, upstream: 0, instance, at, faithful: true });
    }
    evidence
}

fn broken(evidence: &Evidence) -> Vec<String> {
    let Report { promises, .. } = judge(1, evidence, &BOUNDS);
    let broken = promises.into_iter().filter(|promise| promise.violations > 0);
    broken.map(|promise| promise.promise).collect()
}

/// The attempt that was sent at a time.
fn at(evidence: &mut Evidence, sent: Duration) -> &mut Attempt {
    let found = evidence.attempts.iter_mut().find(|attempt| attempt.sent == sent);
    found.expect("an attempt at that time")
}

#[test]
fn a_sound_run_keeps_every_promise() {
    assert_eq!(broken(&sound()), Vec::<String>::new());
}

#[test]
fn an_answer_that_is_not_whole_or_not_its_own_is_found() {
    for (own, whole) in [(false, true), (true, false)] {
        let mut evidence = sound();
        at(&mut evidence, 5_000 * MS).end = End::Answered { status: 200, own, whole };
        assert_eq!(broken(&evidence), ["answers are own and whole"]);
    }
}

#[test]
fn a_joint_in_a_stream_is_found() {
    let mut evidence = sound();
    let stream = evidence.attempts.iter_mut().find(|attempt| attempt.kind == Kind::Stream);
    let stream = stream.expect("a stream");
    stream.end = End::Broken;
    stream.part = "id: 1\ndata: event 1\n\nid: 3\ndata: event 3\n\n".into();
    assert_eq!(broken(&evidence), ["streams are in order"]);
}

#[test]
fn a_second_run_of_a_payment_is_found() {
    let mut evidence = sound();
    let payment = evidence.runs[1].clone();
    evidence.runs.push(payment);
    assert_eq!(broken(&evidence), ["nothing unrepeatable runs twice"]);
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    for refusal in [408, 421, 429, 503] {
        let mut evidence = sound();
        evidence.attempts[1].end = status(refusal);
        assert_eq!(broken(&evidence), ["what was refused did not run"]);
    }
}

#[test]
fn a_changed_and_an_unknown_request_are_found() {
    let mut evidence = sound();
    evidence.runs[4].faithful = false;
    assert_eq!(broken(&evidence), ["upstreams get what callers sent"]);
    let mut evidence = sound();
    evidence.runs[3].request = "nobody's".into();
    assert_eq!(broken(&evidence), ["upstreams get what callers sent"]);
}

#[test]
fn repeats_beyond_the_budget_are_found() {
    let mut evidence = sound();
    let allowed = 0.2 * 1_000.0 + 90.0;
    let reads: Vec<Run> = evidence.runs.iter().step_by(3).take(330).cloned().collect();
    assert!(reads.len() as f64 > allowed);
    evidence.runs.extend(reads);
    assert_eq!(broken(&evidence), ["repeats stay in their budget"]);
}

#[test]
fn a_key_that_still_works_or_does_not_yet_work_is_found() {
    let mut evidence = sound();
    at(&mut evidence, 24_000 * MS).key = 0;
    assert_eq!(broken(&evidence), ["keys are in force in time"]);
    let mut evidence = sound();
    at(&mut evidence, 24_000 * MS).end = status(401);
    assert_eq!(broken(&evidence), ["keys are in force in time"]);
}

#[test]
fn a_disturbed_gateway_may_be_late_with_keys_but_not_go_back() {
    let mut evidence = sound();
    let touched = Touched::Gateway(0);
    let span = Span { from: 21_000 * MS, to: 26_000 * MS, touched, planned: false };
    evidence.spans.push(span);
    at(&mut evidence, 24_000 * MS).key = 0;
    assert_eq!(broken(&evidence), Vec::<String>::new());
    let denied = at(&mut evidence, 23_000 * MS);
    denied.key = 0;
    denied.end = status(401);
    assert_eq!(broken(&evidence), ["configuration never reverts"]);
}

#[test]
fn work_for_what_leaves_or_is_out_is_found() {
    let mut evidence = sound();
    evidence.runs[4_400].instance = "u-1".into();
    assert_eq!(broken(&evidence), ["what leaves or is out stays quiet"]);
    let mut evidence = sound();
    evidence.runs[5_600].upstream = 1;
    assert_eq!(broken(&evidence), ["what leaves or is out stays quiet"]);
}

#[test]
fn a_stop_that_cuts_off_is_found_unless_the_upstream_did() {
    let mut evidence = sound();
    let cut = at(&mut evidence, 29_990 * MS);
    cut.ended = 30_020 * MS;
    cut.end = End::Broken;
    assert_eq!(broken(&evidence), ["a planned stop cuts off nothing"]);
    let touched = Touched::Upstream(0);
    let span = Span { from: 29_000 * MS, to: 31_000 * MS, touched, planned: false };
    evidence.spans.push(span);
    assert_eq!(broken(&evidence), Vec::<String>::new());
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let mut evidence = sound();
    evidence.own_ends.push("gateway 0".into());
    assert_eq!(broken(&evidence), ["processes live until they are ended"]);
}

#[test]
fn what_is_not_served_after_the_faults_is_found() {
    let mut evidence = sound();
    at(&mut evidence, 59_000 * MS).end = status(502);
    assert_eq!(broken(&evidence), ["all is served again after the faults"]);
}
