//! Checks the format of lines and the behaviour when the buffer is full.

use filberttrail_journal::Journal;
use filberttrail_journal::journal::Priority;
use filberttrail_kernel::clock;
use serde_json::{Value, json};
use std::sync::Arc;

fn journal() -> Journal {
    Journal::new("entry-1", Arc::new(clock::Manual::new()))
}

#[test]
fn writes_a_json_object_with_time_node_and_event() {
    let journal = journal();
    journal.record(Priority::Ordinary, "answer", json!({ "request": "r-1" }));
    let line: Value = serde_json::from_slice(&journal.take()).expect("a line of JSON");
    assert_eq!(line, json!({ "t": 0, "node": "entry-1", "event": "answer", "request": "r-1" }));
}

#[test]
fn drops_and_counts_ordinary_lines_but_keeps_important_ones_when_full() {
    let journal = journal();
    for number in 0..20_000 {
        journal.record(Priority::Ordinary, "answer", json!({ "request": number }));
    }
    let dropped = journal.dropped();
    assert!(dropped > 0);
    journal.record(Priority::Important, "failed", json!({ "request": "r-last" }));
    assert_eq!(journal.dropped(), dropped);
    let text = String::from_utf8(journal.take()).expect("text");
    assert!(text.len() <= 256 << 10);
    assert!(text.ends_with("\n") && text.contains("r-last"));
}
