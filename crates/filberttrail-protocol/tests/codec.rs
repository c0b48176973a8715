//! Messages between entries and sidecars: valid ones arrive as they were sent, and no other one ends
//! the process.

use bytes::Bytes;
use filberttrail_fleet::blame::Report;
use filberttrail_protocol::codec::{BATCH_LIMIT, decode, encode};
use filberttrail_protocol::frame::{Failure, Head, Hello, Key, Load};
use filberttrail_protocol::{Cause, Frame, Offer, Ran};

/// Number of malformed messages; `FILBERTTRAIL_CASES` sets another one for longer runs.
const CASES: u64 = 20_000;

fn frames() -> Vec<Frame> {
    let key = Key { service: "counter".into(), digest: "d".into(), request: "r".into(), shard: 3 };
    let offer = Offer {
        number: 7,
        upstream: "engine-00".into(),
        incarnation: u64::MAX,
        method: "POST".into(),
        path: "/payments?x=1".into(),
        headers: vec![("host".into(), Bytes::from_static(b"upstream"))],
        body: Bytes::from_static(&[0, 255, 7]),
        repeatable: false,
        key: Some(key),
        subject: u64::MAX,
        crashed: true,
        patience_ms: 10_000,
    };
    let report = Report {
        accused: vec![(u64::MAX, u32::MAX, u64::MAX, u64::MAX, true)],
        cleared: vec![(1, 2)],
        tried: vec![(3, 0)],
        condemned: vec![(4, 5)],
    };
    let hello = Hello {
        node: "entry".into(),
        incarnation: 1,
        connection: 2,
        nonce: Bytes::from_static(b"nonce"),
        proof: Bytes::from_static(b"proof"),
    };
    let failure = Failure { ran: Ran::Unknown, cause: Cause::Crashed, retry_after_ms: 1 };
    vec![
        Frame::Hello(hello),
        Frame::Offer(Box::new(offer)),
        Frame::Head(1, Head { status: 200, headers: Vec::new() }),
        Frame::Chunk(1, 0, Bytes::from_static(b"data")),
        Frame::Failed(1, failure),
        Frame::Load(Load::default()),
        Frame::Blame(report),
        Frame::Beat,
    ]
}

#[test]
fn messages_arrive_as_they_were_sent() {
    let message = encode(&frames()).expect("a message");
    assert_eq!(decode(&message).expect("frames"), frames());
}

#[test]
fn a_malformed_message_gives_frames_or_a_typed_error() {
    let cases = std::env::var("FILBERTTRAIL_CASES").ok().and_then(|cases| cases.parse().ok());
    let valid = encode(&frames()).expect("a message");
    let mut random = fastrand::Rng::with_seed(28);
    let mut rejected = 0;
    for case in 0..cases.unwrap_or(CASES) {
        let mut bytes = valid.to_vec();
        match case % 4 {
            0 => bytes.truncate(random.usize(..bytes.len())),
            1 => bytes = (0..random.usize(..256)).map(|_| random.u8(..)).collect(),
            _ => {
                for _ in 0..random.usize(1..8) {
                    let at = random.usize(..bytes.len());
                    bytes[at] = random.u8(..);
                }
            }
        }
        rejected += u64::from(decode(&bytes).is_err());
    }
    assert!(rejected > 0, "no message was malformed");
    // Lengths without content, and nesting without end.
    for head in [0x9b, 0xbb, 0x5b, 0x7b] {
        let mut bytes = vec![head];
        bytes.extend([0xff; 8]);
        assert!(decode(&bytes).is_err(), "head {head:x}");
    }
    assert!(decode(&[0x81; 100_000]).is_err());
}

/// Guards against a message of many small frames, which take far more memory than its bytes.
#[test]
fn a_message_with_more_frames_than_a_peer_sends_is_refused() {
    let batch = vec![Frame::Beat; BATCH_LIMIT];
    assert_eq!(decode(&encode(&batch).expect("a message")).expect("frames"), batch);
    let batch = vec![Frame::Beat; BATCH_LIMIT + 1];
    assert!(decode(&encode(&batch).expect("a message")).is_err());
}
