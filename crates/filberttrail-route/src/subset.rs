//! Selects the upstreams to which an entry keeps connections if there are too many for all.
//!
//! Each entry ranks the upstreams by rendezvous hashing with its own name. The loss of an upstream
//! therefore changes one connection of each entry that was connected to it, and none of any other
//! entry.

use filberttrail_kernel::digest::{mix, stable_hash};

/// Returns the indices of at most `count` upstreams for the entry, selected by their names.
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
