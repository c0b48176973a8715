//! What an entry believes upstreams have cached, from its own sends.
//!
//! Events of caches come late and with gaps, so a belief fades: it counts in full when new and not
//! at all once it is as old as a cache entry is expected to live.

use filberttrail_kernel::digest::{mix, stable_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Words of a prompt that one hash covers.
pub const BLOCK_WORDS: usize = 32;
/// Blocks of a prompt that are looked at.
pub const MAX_BLOCKS: usize = 64;
/// How long a cached prefix is expected to live.
pub const CACHE_LIFETIME: Duration = Duration::from_secs(120);
/// Beliefs kept.
const MAX_ENTRIES: usize = 65_536;

/// Hashes a prompt's beginnings, the shortest first; each covers all before it.
pub fn hash_prefixes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().take(BLOCK_WORDS * MAX_BLOCKS).collect();
    let mut hash = 0;
    let blocks = words.chunks(BLOCK_WORDS).map(|block| {
        hash = mix(hash, stable_hash(block.join(" ").as_bytes()));
        hash
    });
    blocks.collect()
}

/// The beliefs of one entry.
#[derive(Debug, Clone, Default)]
pub struct Index {
    sent_at: HashMap<(u64, u64), Duration>,
}

impl Index {
    /// Starts believing nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a prompt was sent to an upstream.
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

    /// Forgets an upstream that has started anew or lost its cache.
    pub fn remove_upstream(&mut self, upstream: u64) {
        self.sent_at.retain(|(_, other), _| *other != upstream);
    }

    /// Estimates the prompt tokens that an upstream has cached.
    pub fn estimate_cached_tokens(&self, prefixes: &[u64], upstream: u64, now: Duration) -> u64 {
        let cached_blocks =
            prefixes.iter().map_while(|prefix| self.sent_at.get(&(*prefix, upstream)));
        let freshness = |at: &Duration| {
            1.0 - (now.saturating_sub(*at).as_secs_f64() / CACHE_LIFETIME.as_secs_f64()).min(1.0)
        };
        cached_blocks.map(|at| BLOCK_WORDS as f64 * freshness(at)).sum::<f64>() as u64
    }
}
