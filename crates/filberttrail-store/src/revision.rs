//! Revisions that stay ordered when the store is restored from a copy.
//!
//! A restored store gives out revision numbers again. Each restore starts a new era, so a revision
//! consists of the era, in the high bits, and the number within it.

use crate::feed::Revision;

/// Number of bits of the number within an era. The era has the remaining bits.
const NUMBER_BITS: u32 = 40;
/// Largest number within an era.
pub const NUMBER_LIMIT: u64 = (1 << NUMBER_BITS) - 1;
/// Largest era. Versions of expert maps are derived from revisions and must fit into 53 bits, which
/// JSON numbers represent exactly.
pub const ERA_LIMIT: u64 = (1 << (53 - NUMBER_BITS)) - 1;

/// Combines an era and the number of a revision within it. Larger values are limited to the
/// maximum.
pub fn join(era: u64, number: u64) -> Revision {
    era.min(ERA_LIMIT) << NUMBER_BITS | number.min(NUMBER_LIMIT)
}

/// Returns the era of a revision.
pub fn era(revision: Revision) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of a revision within its era, as the store knows it.
pub fn number(revision: Revision) -> u64 {
    revision & NUMBER_LIMIT
}
