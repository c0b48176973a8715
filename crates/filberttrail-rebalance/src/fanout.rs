//! Splits the ranks of a group into branches, each of which one rank serves as a relay.
//!
//! Load pattern: a coordinator with a link of 6 Mbit/s polls 96 ranks several times a second. Asked
//! directly, the ranks' expert counts alone exceed the link. Through relays, which forward calls
//! and add up counts, the coordinator and each relay exchange messages with about the square root
//! of the group's size.

/// Number of ranks up to which all of them are called directly.
const DIRECT_LIMIT: usize = 16;

/// Ranks that are called together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The rank that is called.
    pub relay: usize,
    /// The ranks to which it forwards the call.
    pub members: Vec<usize>,
}

/// Splits ranks into branches of nearly equal size. Every rank is in exactly one branch.
pub fn split(ranks: &[usize]) -> Vec<Branch> {
    let size = match ranks.len() {
        0..=DIRECT_LIMIT => 1,
        count => (count as f64).sqrt().ceil() as usize,
    };
    let branch = |ranks: &[usize]| Some((*ranks.first()?, ranks.get(1..)?.to_vec()));
    let branches = ranks.chunks(size).filter_map(branch);
    branches.map(|(relay, members)| Branch { relay, members }).collect()
}
