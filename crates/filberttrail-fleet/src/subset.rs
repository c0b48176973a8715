//! Chooses the entries that may send to an upstream, so that all together stay below what it can
//! handle while it is cold.
//!
//! Load pattern: an upstream may turn cold at any moment and then handles 27 requests a second from
//! all entries. Of 149 entries, each could send less than one a second. Instead, some of them may
//! send one a second each, and the others none.

use filberttrail_kernel::digest::mix;

/// Entries of an upstream's subset that are left unused, for entries that know another list of
/// entries than this one.
const UNUSED_MEMBERS: usize = 3;

/// The part of an upstream's rate that one entry may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Requests per second to one upstream.
    pub sends_per_second: usize,
    /// Number of entries that may send to an upstream; `None` if all may.
    pub members: Option<usize>,
}

impl Share {
    /// Divides `rate`, in requests per second, between entries. One entry more than known is
    /// assumed.
    pub fn divide(rate: f64, entries: usize) -> Self {
        let rate = rate.max(1.0) as usize;
        match rate / (entries + 1) {
            0 => {
                let members = rate.saturating_sub(UNUSED_MEMBERS).max(1);
                Self { sends_per_second: 1, members: Some(members) }
            }
            sends_per_second => Self { sends_per_second, members: None },
        }
    }
}

/// Returns whether an entry is one of the `members` entries of an upstream's subset. All arguments
/// are hashes of names, and `entries` has those of all entries. Every entry with the same list gets
/// the same answer, and a change of the list by one entry changes one member of a subset at most.
pub fn is_member(entry: u64, entries: &[u64], upstream: u64, members: usize) -> bool {
    rank(entry, entries, upstream) < members
}

/// Returns the number of entries that come before this one in the order in which the subset of an
/// upstream is chosen. All arguments are hashes of names.
pub fn rank(entry: u64, entries: &[u64], upstream: u64) -> usize {
    let own = mix(entry, upstream);
    entries.iter().filter(|other| mix(**other, upstream) > own).count()
}
