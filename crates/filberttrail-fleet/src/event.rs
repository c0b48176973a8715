//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are forwarded, so that a stream that breaks off within an event can be
//! at another upstream without a visible break.
//!
//! The format is a subset of <https://html.spec.whatwg.org/multipage/server-sent-events.html>: an
//! event ends with `LF LF` or `CRLF CRLF`. A lone `CR` does not end a line, an event that ends with
//! `LF CRLF` is not recognized as ended, and a byte order mark is not skipped. If an event has
//! several `id:` fields, the first one counts. An `id:` that is not a number counts as none.

use bytes::{Bytes, BytesMut};

/// The position of an event in its stream, taken from its `id:` field. Consecutive events have
/// consecutive numbers.
pub type SequenceNumber = u64;

/// The events that were completed by a push.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events, concatenated.
    pub bytes: Bytes,
    /// Sequence number of the first event, if the events have numbers.
    pub first: Option<SequenceNumber>,
    /// Sequence number of the last event, if the events have numbers.
    pub last: Option<SequenceNumber>,
}

/// The error of a stream that cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A sequence number is skipped.
    Gap,
    /// An event exceeds [`EVENT_LIMIT`].
    TooLong,
    /// A continuation begins with an event that has no number.
    Unnumbered,
}

/// Maximum size of an event, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// Splits a stream into events and drops numbered events that the caller has received before.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// The highest sequence number so far: that of the last event from `push`, or else the number
    /// passed to `new`.
    last: Option<SequenceNumber>,
    /// Whether a sequence number was skipped after the events that the last push returned.
    gap: bool,
    /// Whether the next event has to have a number.
    needs_number: bool,
}

impl Splitter {
    /// Creates a splitter for a stream. Events with sequence numbers up to `last` are dropped;
    /// events without a number are kept.
    pub fn new(last: Option<SequenceNumber>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Creates a splitter for the continuation of a stream after the event `last`. Only the numbers tell
    /// that events continue it, so it has to begin with one that has a number.
    pub fn after(last: Option<SequenceNumber>) -> Self {
        Self { last, needs_number: last.is_some(), ..Self::default() }
    }

    /// Returns the sequence number of the last whole numbered event, or the number passed to `new`
    /// before the first one.
    pub fn last(&self) -> Option<SequenceNumber> {
        self.last
    }

    /// Returns whether a sequence number was skipped, so that the next push fails.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn is_within_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Appends bytes and returns the events that they complete, or `None` if there are none.
    ///
    /// Events whose sequence number was received before are dropped. Events without a number are
    /// always returned. Fails if a sequence number is skipped; the events before the gap are
    /// returned first, and then the next push fails. Fails if an event is too long, or if a continuation
    /// begins with an event without a number.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, Fault> {
        if self.gap {
            return Err(Fault::Gap);
        }
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut first = None;
        let mut batch_last = None;
        while let Some(end) = find_event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if let Some(number) = parse_sequence_number(&event) {
                match self.last {
                    Some(last) if number <= last => continue,
                    Some(last) if number > last.saturating_add(1) => {
                        self.gap = true;
                        break;
                    }
                    _ => {}
                }
                self.needs_number = false;
                self.last = Some(number);
                first.get_or_insert(number);
                batch_last = Some(number);
            } else if self.needs_number {
                if is_comment(&event) {
                    continue;
                }
                return Err(Fault::Unnumbered);
            }
            out.extend_from_slice(&event);
        }
        if out.is_empty() && self.gap {
            return Err(Fault::Gap);
        }
        if self.buffer.len() > EVENT_LIMIT {
            return Err(Fault::TooLong);
        }
        if out.is_empty() {
            return Ok(None);
        }
        Ok(Some(Events { bytes: out.freeze(), first, last: batch_last }))
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_end = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

fn parse_sequence_number(event: &[u8]) -> Option<SequenceNumber> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
