//! Buffers the response to one attempt, so that it can be resent after the entry reconnects.

use bytes::Bytes;
use filberttrail_limit::Holding;
use filberttrail_protocol::Frame;
use filberttrail_protocol::frame::{Failure, Head};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Maximum size of one buffered response body, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Bytes that a chunk takes besides its own: its framing in the buffer that it was read into, its entry
/// in the list of chunks and its frame in the queue.
const CHUNK_OVERHEAD: usize = 128;

/// The queue of frames to send over a connection to an entry.
pub type Outbox = mpsc::UnboundedSender<Frame>;

#[derive(Debug)]
struct State {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    bytes: usize,
    ending: Option<Ending>,
    outbox: Option<Outbox>,
    holding: Holding,
    discarded: bool,
}

/// What became of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Push {
    /// It was added, or nobody wants the response any more.
    Done,
    /// There is no memory for it now.
    NoMemory,
    /// The body exceeds `MAX_BUFFERED_BYTES`.
    TooLarge,
}

#[derive(Debug, Clone)]
enum Ending {
    Complete,
    Failed(Failure),
}

/// The response to one attempt.
#[derive(Debug)]
pub struct Buffer {
    number: u64,
    state: Mutex<State>,
}

impl Buffer {
    /// Creates an empty response to the attempt with this number. Everything that is added is also
    /// sent to `outbox`. Chunks hold memory of `holding`.
    pub fn new(number: u64, outbox: Outbox, holding: Holding) -> Self {
        let state = State {
            head: None,
            chunks: Vec::new(),
            bytes: 0,
            ending: None,
            outbox: Some(outbox),
            holding,
            discarded: false,
        };
        Self { number, state: Mutex::new(state) }
    }

    /// Discards the chunks and those that are still to come, because the entry wants none of them.
    pub fn discard(&self) {
        let mut state = self.state();
        state.discarded = true;
        state.outbox = None;
        state.chunks = Vec::new();
        state.holding.clear();
    }

    /// Switches to another connection: sends it the head, the chunks from sequence number `next` on
    /// and the ending, as far as they are known, and then everything that is added.
    pub fn attach(&self, outbox: Outbox, next: u64) {
        let mut state = self.state();
        if let Some(head) = &state.head {
            let _ = outbox.send(Frame::Head(self.number, head.clone()));
        }
        for (sequence, chunk) in state.chunks.iter().enumerate().skip(next as usize) {
            let _ = outbox.send(Frame::Chunk(self.number, sequence as u64, chunk.clone()));
        }
        if let Some(ending) = &state.ending {
            let _ = outbox.send(self.ending_frame(ending, state.chunks.len()));
        }
        state.outbox = Some(outbox);
    }

    /// Adds the status and headers.
    pub fn push_head(&self, head: Head) {
        let mut state = self.state();
        send(&state, Frame::Head(self.number, head.clone()));
        state.head = Some(head);
    }

    /// Adds a chunk of the body, if there is memory for it and the body does not exceed
    /// `MAX_BUFFERED_BYTES`.
    pub fn push_chunk(&self, chunk: &Bytes) -> Push {
        let mut state = self.state();
        if state.discarded {
            return Push::Done;
        }
        if state.bytes + chunk.len() > MAX_BUFFERED_BYTES {
            return Push::TooLarge;
        }
        if !state.holding.grow(chunk.len() + CHUNK_OVERHEAD) {
            return Push::NoMemory;
        }
        state.bytes += chunk.len();
        let sequence = state.chunks.len() as u64;
        send(&state, Frame::Chunk(self.number, sequence, chunk.clone()));
        state.chunks.push(chunk.clone());
        Push::Done
    }

    /// Ends the response as complete. Has no effect if it has already ended.
    pub fn end(&self) {
        self.push_ending(Ending::Complete);
    }

    /// Ends the response with a failure. Has no effect if it has already ended.
    pub fn fail(&self, failure: Failure) {
        self.push_ending(Ending::Failed(failure));
    }

    fn push_ending(&self, ending: Ending) {
        let mut state = self.state();
        if state.ending.is_some() {
            return;
        }
        let frame = self.ending_frame(&ending, state.chunks.len());
        send(&state, frame);
        state.ending = Some(ending);
    }

    fn ending_frame(&self, ending: &Ending, chunks: usize) -> Frame {
        match ending {
            Ending::Complete => Frame::End(self.number, chunks as u64),
            Ending::Failed(failure) => Frame::Failed(self.number, failure.clone()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send(state: &State, frame: Frame) {
    if let Some(outbox) = &state.outbox {
        // If the connection is closed, the entry requests a resend over its next one.
        let _ = outbox.send(frame);
    }
}
