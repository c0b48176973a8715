//! Splitting of event streams for any chunk boundaries.

use filberttrail_fleet::Splitter;
use filberttrail_fleet::event::{EVENT_LIMIT, Fault};
use filberttrail_test_support::property::check;

fn stream(events: u64) -> Vec<u8> {
    let event = |number| format!("id: {number}\nevent: piece\ndata: text {number}\n\n");
    (1..=events).map(event).collect::<String>().into_bytes()
}

#[test]
fn emits_each_event_complete_and_once_for_any_chunking_and_resume_point() {
    fn holds(cuts: Vec<usize>, break_point: u64) -> bool {
        let complete = stream(9);
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % complete.len()).collect();
        cuts.extend([0, complete.len()]);
        cuts.sort_unstable();
        // The first upstream breaks off at any byte. The second replays the stream from its start,
        // and the splitter has to drop the events that were received already.
        let cut_off = break_point as usize % complete.len();
        let mut splitter = Splitter::new(None);
        let mut received = Vec::new();
        for pair in cuts.windows(2) {
            let piece = &complete[pair[0].min(cut_off)..pair[1].min(cut_off)];
            if let Ok(Some(events)) = splitter.push(piece) {
                received.extend_from_slice(&events.bytes);
            }
        }
        let mut second = Splitter::new(splitter.last());
        for piece in complete.chunks(11) {
            if let Ok(Some(events)) = second.push(piece) {
                received.extend_from_slice(&events.bytes);
            }
        }
        received == complete && !second.is_within_event()
    }
    check(0xe7e7_0001, holds as fn(Vec<usize>, u64) -> bool);
}

#[test]
fn reports_a_gap_when_an_event_is_missing() {
    let mut splitter = Splitter::new(Some(2));
    assert_eq!(splitter.push(b"id: 4\ndata: x\n\n"), Err(Fault::Gap));
}

#[test]
fn returns_the_events_before_a_gap_and_then_fails() {
    let mut splitter = Splitter::new(Some(2));
    let events = splitter.push(b"id: 3\ndata: x\n\nid: 5\ndata: y\n\n");
    assert_eq!(
        &events.expect("no failure yet").expect("an event").bytes[..],
        b"id: 3\ndata: x\n\n"
    );
    assert!(splitter.has_gap());
    assert_eq!(splitter.last(), Some(3), "the stream resumes after the event that was returned");
    assert_eq!(splitter.push(b""), Err(Fault::Gap));
}

#[test]
fn rejects_an_event_without_end() {
    let mut splitter = Splitter::new(None);
    let chunk = vec![b'x'; 64 << 10];
    let accepted = (0..1_000).take_while(|_| splitter.push(&chunk).is_ok()).count();
    assert_eq!(accepted, EVENT_LIMIT / chunk.len());
}

#[test]
fn buffers_an_incomplete_event() {
    let mut splitter = Splitter::new(None);
    assert_eq!(splitter.push(b"id: 1\ndata: x\n"), Ok(None));
    assert!(splitter.is_within_event());
    let events = splitter.push(b"\nid: 2").expect("no gap").expect("an event");
    assert_eq!((events.first, events.last), (Some(1), Some(1)));
    assert_eq!(&events.bytes[..], b"id: 1\ndata: x\n\n");
}

/// Guards against text that looks like an event and continues no stream.
#[test]
fn a_continuation_begins_with_a_numbered_event() {
    let error = b"event: error\ndata: out of memory\n\n";
    assert_eq!(Splitter::after(Some(3)).push(error), Err(Fault::Unnumbered));
    let mut splitter = Splitter::after(Some(3));
    assert_eq!(splitter.push(b"id: 3\ndata: c\n\n"), Ok(None), "it was received before");
    assert_eq!(splitter.push(error), Err(Fault::Unnumbered));
    let mut splitter = Splitter::after(Some(3));
    assert_eq!(splitter.push(b": still here\n\n"), Ok(None), "a comment says nothing");
    let events = splitter.push(b"id: 4\ndata: d\n\n").expect("no fault").expect("an event");
    assert_eq!(events.last, Some(4));
    assert!(splitter.push(error).is_ok_and(|events| events.is_some()), "the upstream's own event");
    assert_eq!(Splitter::after(Some(3)).push(b"id: 5\ndata: e\n\n"), Err(Fault::Gap));
}
