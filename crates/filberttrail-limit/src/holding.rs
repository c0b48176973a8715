//! One message's part of a shared memory.

use crate::Memory;

/// Bytes of a [`Memory`], which are returned to it when this is dropped.
#[derive(Debug)]
pub struct Holding {
    memory: Memory,
    bytes: usize,
}

impl Holding {
    /// Creates a holding without any bytes.
    pub(crate) fn new(memory: Memory) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Takes more bytes and returns `true`, or takes none and returns `false` if there is no room.
    pub fn grow(&mut self, more: usize) -> bool {
        let has_room = self.memory.take(self.bytes, more);
        if has_room {
            self.bytes += more;
        }
        has_room
    }

    /// Returns some of the bytes to the memory.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.memory.give_back(self.bytes, bytes);
        self.bytes -= bytes;
    }

    /// Returns all bytes to the memory.
    pub fn clear(&mut self) {
        self.shrink(self.bytes);
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.clear();
    }
}
