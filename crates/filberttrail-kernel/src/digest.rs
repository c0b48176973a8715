//! Content addresses and stable hashes.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal characters.
pub fn sha256_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the first 8 bytes of the SHA-256 digest of `bytes` as a big-endian integer.
///
/// The value is the same on every platform and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    first_bytes(&Sha256::digest(bytes))
}

/// Hashes several fields into one value of [`stable_hash`]'s kind.
#[derive(Debug, Clone, Default)]
pub struct StableHasher(Sha256);

impl StableHasher {
    /// Creates the hasher of no fields.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a field. The same bytes divided into other fields have another hash.
    pub fn write_field(&mut self, bytes: &[u8]) {
        self.0.update((bytes.len() as u64).to_be_bytes());
        self.0.update(bytes);
    }

    /// Returns the first 8 bytes of the hash as a big-endian integer.
    pub fn finish(self) -> u64 {
        first_bytes(&self.0.finalize())
    }
}

fn first_bytes(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Mixes two hashes into one with the finaliser of SplitMix64 (Steele, Lea, Flood, 2014).
pub fn mix(left: u64, right: u64) -> u64 {
    let mut state = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
