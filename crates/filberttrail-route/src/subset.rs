//! Which upstreams an entry keeps connections to, where there are too many for all.
//!
//! Each entry ranks upstreams by rendezvous hashing with its own name, so that the loss of an
//! upstream changes one connection of those entries that had it, and of no others.

use filberttrail_kernel::digest::{mix, stable_hash};

/// Picks the indices of so many of the upstreams, by their names.
pub fn choose(entry: &str, upstreams: &[&str], count: usize) -> Vec<usize> {
    let entry_hash = stable_hash(entry.as_bytes());
    let weight = |index: &usize| mix(entry_hash, stable_hash(upstreams[*index].as_bytes()));
    let mut ranked: Vec<usize> = (0..upstreams.len()).collect();
    if upstreams.len() > count {
        ranked.sort_by_cached_key(|index| std::cmp::Reverse(weight(index)));
        ranked.truncate(count);
    }
    ranked
}
