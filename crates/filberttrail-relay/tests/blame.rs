//! The exchange of what is blamed for crashes between the processes of an estate.

use filberttrail_fleet::blame::{Crash, Decision, Report};
use filberttrail_kernel::{Disabled, clock};
use filberttrail_protocol::Frame;
use filberttrail_relay::replicator::{Peer, Source};
use filberttrail_relay::{Blame, Inbox, Message, Replicator};
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver};

const SUBJECT: u64 = 7;

/// Starts a process with two peers. Returns its ledger, its inbox and what the peers receive. The last
/// value keeps the process running.
fn start(passes_on: bool) -> (Arc<Blame>, Inbox, [UnboundedReceiver<Frame>; 2], impl Sized) {
    let blame = Blame::new(clock::System::shared());
    let blame = Arc::new(if passes_on { blame.with_passing_on() } else { blame });
    let name = "process".to_string();
    let (inbox, view) =
        Replicator::start(name, None, Source::Poll, &Disabled::new(), blame.clone());
    let (first, first_frames): (Peer, _) = mpsc::unbounded_channel();
    let (second, second_frames): (Peer, _) = mpsc::unbounded_channel();
    for (id, peer) in [(1, first), (2, second)] {
        inbox.send(Message::Connected(id, peer)).expect("it runs");
    }
    (blame, inbox, [first_frames, second_frames], view)
}

fn accusation() -> Report {
    Report { accused: vec![(SUBJECT, 1, 0, 0, false)], ..Report::default() }
}

async fn receive_report(frames: &mut UnboundedReceiver<Frame>) -> Report {
    match frames.recv().await {
        Some(Frame::Blame(report)) => report,
        other => panic!("not a report: {other:?}"),
    }
}

#[tokio::test]
async fn an_entry_passes_on_what_a_sidecar_reports() {
    let (blame, inbox, mut peers, _view) = start(true);
    inbox.send(Message::Blame(accusation())).expect("it runs");
    for frames in &mut peers {
        let report = receive_report(frames).await;
        assert_eq!(report.accused[0].0, SUBJECT);
    }
    assert!(matches!(blame.decide(SUBJECT, false, || true), Decision::Suspect(_)));
}

#[tokio::test]
async fn a_sidecar_reports_its_own_crashes_and_keeps_those_of_others_to_itself() {
    let (blame, inbox, mut peers, _view) = start(false);
    inbox.send(Message::Blame(accusation())).expect("it runs");
    while blame.decide(SUBJECT, false, || true) == Decision::Free {
        tokio::task::yield_now().await;
    }
    let own = Crash { upstream: 2, incarnation: 0 };
    blame.record_crash(own, SUBJECT + 1, &[]);
    for frames in &mut peers {
        let report = receive_report(frames).await;
        assert!(report.accused.iter().any(|row| (row.0, row.1) == (SUBJECT + 1, 2)), "{report:?}");
    }
}

#[tokio::test]
async fn a_process_that_connects_later_hears_of_verdicts() {
    let (blame, inbox, _peers, _view) = start(true);
    let condemned = Report { condemned: vec![(SUBJECT, 0)], ..Report::default() };
    inbox.send(Message::Blame(condemned)).expect("it runs");
    while blame.count_condemned() == 0 {
        tokio::task::yield_now().await;
    }
    let (peer, mut frames): (Peer, _) = mpsc::unbounded_channel();
    inbox.send(Message::Connected(3, peer)).expect("it runs");
    assert_eq!(receive_report(&mut frames).await.condemned[0].0, SUBJECT);
    assert_eq!(blame.decide(SUBJECT, false, || true), Decision::Condemned(SUBJECT));
}
