//! Reads response bodies into memory, of which all large bodies together get a limited amount.

use crate::exchange::Failed;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum size of one body, in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// Maximum size of all large bodies that are being read, in bytes. The smallest entries have 160 MB
/// of memory.
const TOTAL_LIMIT: usize = 48 << 20;
/// Size up to which a body does not count against the total, in bytes, so that large bodies do not
/// displace small ones.
const SMALL_BODY: usize = 64 << 10;

/// The memory for large response bodies.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    used: Arc<AtomicUsize>,
}

/// A part of the memory, which is returned when dropped.
struct Part {
    memory: Memory,
    size: usize,
}

impl Memory {
    /// Creates a memory of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a complete body.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, Failed> {
        let mut collected = BytesMut::new();
        let mut part = Part { memory: self.clone(), size: 0 };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Failed::from_connection(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            let size = collected.len() + data.len();
            if size > BODY_LIMIT {
                return Err(Failed::Unusable(format!("the body exceeds {BODY_LIMIT} bytes")));
            }
            if size > SMALL_BODY && !part.grow(size) {
                let fault = format!("large bodies together exceed {TOTAL_LIMIT} bytes");
                return Err(Failed::Unusable(fault));
            }
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }
}

impl Part {
    fn grow(&mut self, size: usize) -> bool {
        let added = size - self.size;
        let used = self.memory.used.fetch_add(added, Ordering::Relaxed) + added;
        self.size = size;
        used <= TOTAL_LIMIT
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}
