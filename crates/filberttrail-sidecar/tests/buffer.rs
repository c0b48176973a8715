//! The memory of buffered responses.

use bytes::Bytes;
use filberttrail_limit::Memory;
use filberttrail_sidecar::buffer::{Buffer, Push};
use tokio::sync::mpsc;

/// Guards against responses whose sum exceeds the memory, and against memory that is kept for a response
/// that nobody wants.
#[test]
fn a_chunk_without_memory_is_not_added_until_another_response_is_discarded() {
    let memory = Memory::new(20_000);
    let (outbox, mut frames) = mpsc::unbounded_channel();
    let first = Buffer::new(1, outbox.clone(), memory.hold());
    let second = Buffer::new(2, outbox, memory.hold());
    assert_eq!(first.push_chunk(&Bytes::from(vec![0; 9_000])), Push::Done);
    assert_eq!(second.push_chunk(&Bytes::from(vec![0; 9_000])), Push::NoMemory);
    first.discard();
    assert_eq!(memory.held(), 0);
    assert_eq!(second.push_chunk(&Bytes::from(vec![0; 9_000])), Push::Done);
    assert_eq!(first.push_chunk(&Bytes::from(vec![0; 9_000])), Push::Done);
    drop((first, second));
    assert_eq!(memory.held(), 0);
    let mut sent = 0;
    while frames.try_recv().is_ok() {
        sent += 1;
    }
    assert_eq!(sent, 2);
}
