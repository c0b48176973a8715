//! Short hashes of upstream ids, which keep messages between entries small.

pub use filberttrail_fleet::loads::IdHash;

/// Returns the 32-bit FNV-1a hash of an id.
pub fn hash_id(id: &str) -> IdHash {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
