//! Puts the chunks of one answer in order.
//!
//! Invariant: what is handed on is a prefix of the answer, without a byte lost or doubled, and it
//! is whole exactly when every chunk up to the announced number has been handed on.

/// What to do about an arrived chunk or end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// It is the next one: hand it on.
    InOrder,
    /// It was handed on before: drop it.
    Duplicate,
    /// Something before it is missing: ask for it again from this sequence number.
    Gap(u64),
    /// The answer is whole.
    Complete,
}

/// How far an answer has come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Assembly {
    next: u64,
}

impl Assembly {
    /// Starts before the first chunk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the sequence number of an arrived chunk.
    pub fn receive_chunk(&mut self, sequence: u64) -> Arrival {
        if sequence < self.next {
            return Arrival::Duplicate;
        }
        if sequence > self.next {
            return Arrival::Gap(self.next);
        }
        self.next += 1;
        Arrival::InOrder
    }

    /// Takes in the end, with the number of chunks that the answer has.
    pub fn receive_end(&self, total: u64) -> Arrival {
        if self.next >= total { Arrival::Complete } else { Arrival::Gap(self.next) }
    }

    /// Returns the sequence number of the first chunk that is missing.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }
}
