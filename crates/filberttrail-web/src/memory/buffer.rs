//! A buffer that collects a body and is charged to a budget by its capacity.

use crate::memory::{Budget, Hold, Part};
use bytes::Bytes;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// Capacity of a new buffer, in bytes.
const FIRST_CAPACITY: usize = 8_192;
/// Largest allocation of a body that is being collected, in bytes. Longer bodies consist of several of
/// this size until they are complete, so that a flood leaves no holes of odd sizes in the allocator.
const SEGMENT: usize = 64 << 10;
/// Fraction of the capacity that may stay unused in a complete body. More of it is returned.
const UNUSED_FRACTION: usize = 8;

/// The bytes, which whoever evicts the body takes away.
struct Content {
    segments: Mutex<Option<Vec<Vec<u8>>>>,
    evicted: Notify,
}

/// A body that is being collected. It may be evicted at any time.
pub struct Buffer {
    hold: Hold,
    content: Arc<Content>,
    length: usize,
    capacity: usize,
    /// Capacity that the complete body needs at most.
    largest: usize,
}

/// A complete body with its charge.
struct Complete {
    bytes: Vec<u8>,
    _hold: Arc<Hold>,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Creates an empty buffer for a body of a team that has at most `largest` bytes.
    pub fn new(budget: &Budget, part: Part, owner: &str, largest: usize) -> Self {
        let segments = Mutex::new(Some(Vec::new()));
        let content = Arc::new(Content { segments, evicted: Notify::new() });
        let evicted = content.clone();
        let hold = budget.list(part, owner, move || evicted.evict());
        Self { hold, content, length: 0, capacity: 0, largest }
    }

    /// Creates a buffer for a complete body of a team. Returns nothing if there is no room.
    pub fn with_bytes(budget: &Budget, part: Part, owner: &str, bytes: Vec<u8>) -> Option<Self> {
        let mut buffer = Self::new(budget, part, owner, bytes.len());
        if !buffer.hold.resize(bytes.capacity()) {
            return None;
        }
        (buffer.capacity, buffer.length) = (bytes.capacity(), bytes.len());
        buffer.content.lock().replace(vec![bytes]);
        Some(buffer)
    }

    /// Returns the number of bytes collected so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Appends bytes. Returns `false` if the body has been evicted; then the buffer is empty.
    pub fn push(&mut self, data: &[u8]) -> bool {
        let needed = self.length + data.len();
        if needed > self.capacity {
            let capacity = needed.max(capacity_for(needed).min(self.largest));
            // The lock of the content is not held meanwhile, as another body may evict this one.
            if !self.hold.resize(capacity) {
                self.content.evict();
                return false;
            }
            self.capacity = capacity;
        }
        let mut content = self.content.lock();
        let Some(segments) = content.as_mut() else { return false };
        append(segments, data, self.capacity);
        drop(content);
        self.length = needed;
        true
    }

    /// Waits until the body is evicted.
    pub async fn evicted(&self) {
        self.content.evicted.notified().await;
    }

    /// Returns the complete body, which stays charged until it is dropped and is no longer evicted.
    /// Returns nothing if it was evicted before.
    pub fn finish(self) -> Option<Bytes> {
        if !self.hold.pin() {
            return None;
        }
        let (bytes, hold) = self.take()?;
        Some(Bytes::from_owner(Complete { bytes, _hold: Arc::new(hold) }))
    }

    /// Returns the complete body, which stays charged until its bytes are dropped. It can still be
    /// evicted, which has no effect until [`Hold::on_evict`] has set how. Returns nothing if it was
    /// evicted before.
    pub fn finish_evictable(self) -> Option<(Bytes, Arc<Hold>)> {
        let (bytes, hold) = self.take()?;
        let hold = Arc::new(hold);
        Some((Bytes::from_owner(Complete { bytes, _hold: hold.clone() }), hold))
    }

    fn take(self) -> Option<(Vec<u8>, Hold)> {
        let mut bytes = join(self.content.lock().take()?, self.length);
        if bytes.capacity() - bytes.len() > bytes.capacity() / UNUSED_FRACTION {
            bytes.shrink_to_fit();
        }
        if bytes.capacity() < self.capacity {
            self.hold.resize(bytes.capacity());
        }
        Some((bytes, self.hold))
    }
}

impl Content {
    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Vec<Vec<u8>>>> {
        self.segments.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict(&self) {
        let segments = self.lock().take();
        drop(segments);
        self.evicted.notify_one();
    }
}

/// Returns the capacity for this number of bytes.
fn capacity_for(bytes: usize) -> usize {
    match bytes <= SEGMENT {
        true => bytes.next_power_of_two().max(FIRST_CAPACITY),
        false => bytes.next_multiple_of(SEGMENT),
    }
}

/// Appends bytes to the segments, for which `capacity` is enough.
fn append(segments: &mut Vec<Vec<u8>>, mut data: &[u8], capacity: usize) {
    while !data.is_empty() {
        let before = segments.len().saturating_sub(1) * SEGMENT;
        let size = SEGMENT.min(capacity.saturating_sub(before));
        match segments.last_mut() {
            Some(last) if last.len() < size => {
                last.reserve_exact(size - last.len());
                let (part, rest) = data.split_at(data.len().min(size - last.len()));
                last.extend_from_slice(part);
                data = rest;
            }
            _ => segments.push(Vec::new()),
        }
    }
}

/// Joins the segments of a complete body. Each is freed as soon as it is copied.
fn join(mut segments: Vec<Vec<u8>>, length: usize) -> Vec<u8> {
    if segments.len() == 1 {
        return segments.pop().unwrap_or_default();
    }
    let mut bytes = Vec::with_capacity(length);
    for segment in segments {
        bytes.extend_from_slice(&segment);
    }
    bytes
}
