//! Counts the bytes of the message that a connection receives.

use filberttrail_limit::Holding;

/// Maximum number of bytes that a connection receives before its peer has proved the secret. The
/// upgrade to WebSocket and the frames of the handshake have less than 2 kB.
const UNPROVED_BYTES: usize = 16 << 10;

/// The bytes that a connection may still receive, and the memory that its message holds.
#[derive(Debug)]
pub struct Meter {
    /// Number of bytes left before the proof; `None` after it.
    unproved: Option<usize>,
    holding: Holding,
}

impl Meter {
    /// Creates the meter of a connection whose peer has not proved the secret.
    pub fn new(holding: Holding) -> Self {
        Self { unproved: Some(UNPROVED_BYTES), holding }
    }

    /// Records that the peer has proved the secret. From now on, received bytes hold memory until
    /// their message is decoded.
    pub fn prove(&mut self) {
        self.unproved = None;
    }

    /// Records that a whole message was received and decoded.
    pub fn end_message(&mut self) {
        self.holding.clear();
    }

    /// Returns how many bytes may be received now, at most `wanted`; 0 if there is no memory for
    /// them yet. `None` if the connection may receive no more.
    pub fn admit(&mut self, wanted: usize) -> Option<usize> {
        match self.unproved {
            Some(0) => None,
            Some(left) => Some(left.min(wanted)),
            None if self.holding.grow(wanted) => Some(wanted),
            None => Some(0),
        }
    }

    /// Records how many of the admitted bytes were received.
    pub fn record(&mut self, admitted: usize, received: usize) {
        match &mut self.unproved {
            Some(left) => *left = left.saturating_sub(received),
            None => self.holding.shrink(admitted - received),
        }
    }
}
