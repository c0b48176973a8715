//! Estimates which prompt prefixes upstreams have cached, from the requests that this entry sent.
//!
//! Cache events of upstreams arrive late and incompletely, so the estimate decays with age: a
//! prefix counts fully when it was just sent, and not at all after the expected lifetime of a
//! cache entry.

use filberttrail_kernel::digest::{mix, stable_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Number of words in a block; each prefix hash adds one block.
pub const BLOCK_WORDS: usize = 32;
/// Maximum number of blocks of a prompt that are hashed.
pub const MAX_BLOCKS: usize = 64;
/// Expected lifetime of a cached prefix.
pub const CACHE_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of prefix and upstream pairs in an index.
const MAX_ENTRIES: usize = 65_536;

/// Hashes the prefixes of a prompt, the shortest first. Each hash covers its block and all blocks
/// before it.
pub fn hash_prefixes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().take(BLOCK_WORDS * MAX_BLOCKS).collect();
    let mut hash = 0;
    let blocks = words.chunks(BLOCK_WORDS).map(|block| {
        hash = mix(hash, stable_hash(block.join(" ").as_bytes()));
        hash
    });
    blocks.collect()
}

/// The prefixes that one entry has sent to each upstream, with the time of the last request.
#[derive(Debug, Clone, Default)]
pub struct Index {
    sent_at: HashMap<(u64, u64), Duration>,
}

impl Index {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a prompt was sent to an upstream. If the index is full, pairs older than half
    /// the cache lifetime are removed; if it remains full, all pairs are removed.
    pub fn record(&mut self, prefixes: &[u64], upstream: u64, now: Duration) {
        if self.sent_at.len() + prefixes.len() > MAX_ENTRIES {
            self.sent_at.retain(|_, at| now.saturating_sub(*at) < CACHE_LIFETIME / 2);
        }
        if self.sent_at.len() + prefixes.len() > MAX_ENTRIES {
            self.sent_at.clear();
        }
        for prefix in prefixes {
            self.sent_at.insert((*prefix, upstream), now);
        }
    }

    /// Removes an upstream that restarted or lost its cache.
    pub fn remove_upstream(&mut self, upstream: u64) {
        self.sent_at.retain(|(_, other), _| *other != upstream);
    }

    /// Estimates how many prompt tokens an upstream has cached.
    pub fn estimate_cached_tokens(&self, prefixes: &[u64], upstream: u64, now: Duration) -> u64 {
        let cached_blocks =
            prefixes.iter().map_while(|prefix| self.sent_at.get(&(*prefix, upstream)));
        let freshness = |at: &Duration| {
            1.0 - (now.saturating_sub(*at).as_secs_f64() / CACHE_LIFETIME.as_secs_f64()).min(1.0)
        };
        cached_blocks.map(|at| BLOCK_WORDS as f64 * freshness(at)).sum::<f64>() as u64
    }
}
