//! Challenge-response proofs of the shared secret, with HMAC-SHA256 (RFC 2104).

use bytes::Bytes;
use filberttrail_kernel::id::Incarnation;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Minimum length of the shared secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Computes the proof that a peer with this name and incarnation sends for the nonce that it
/// received. The result is empty if no HMAC can be made with the secret.
pub fn compute(secret: &[u8], nonce: &[u8], name: &str, incarnation: Incarnation) -> Bytes {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else {
        return Bytes::new();
    };
    mac.update(&(nonce.len() as u64).to_be_bytes());
    mac.update(nonce);
    mac.update(&incarnation.to_be_bytes());
    mac.update(name.as_bytes());
    Bytes::copy_from_slice(&mac.finalize().into_bytes())
}

/// Returns whether a received proof equals the expected one, in constant time. An empty expected
/// proof is never equal.
pub fn verify(expected: &[u8], received: &[u8]) -> bool {
    !expected.is_empty() && bool::from(expected.ct_eq(received))
}
