//! Reassembles the chunks of one response body in order.
//!
//! Invariant: the chunks delivered so far are a prefix of the response, with none lost or
//! duplicated. The response is complete exactly when all chunks up to the total that the end frame
//! announces have been delivered.

/// How a received chunk or end frame relates to the chunks delivered so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// The chunk is the next in order. The caller delivers it.
    InOrder,
    /// The chunk was delivered before. The caller drops it.
    Duplicate,
    /// Earlier chunks are missing. The caller requests a resend from this sequence number.
    Gap(u64),
    /// All chunks of the response have been delivered.
    Complete,
}

/// Delivery progress of one response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Assembly {
    next: u64,
}

impl Assembly {
    /// Expects the first chunk, which has sequence number 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Classifies a received chunk by its sequence number and counts it if it is in order.
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

    /// Checks a received end frame, where `total` is the number of chunks in the response.
    pub fn receive_end(&self, total: u64) -> Arrival {
        if self.next >= total { Arrival::Complete } else { Arrival::Gap(self.next) }
    }

    /// Returns the sequence number of the next chunk to deliver.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }
}
