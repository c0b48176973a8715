//! Proofs that the other side knows the shared secret, without sending it.

use bytes::Bytes;
use filberttrail_kernel::id::Incarnation;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Computes the proof of one side for the other side's nonce.
pub fn prove(secret: &[u8], nonce: &[u8], name: &str, incarnation: Incarnation) -> Bytes {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else {
        return Bytes::new();
    };
    mac.update(&(nonce.len() as u64).to_be_bytes());
    mac.update(nonce);
    mac.update(&incarnation.to_be_bytes());
    mac.update(name.as_bytes());
    Bytes::copy_from_slice(&mac.finalize().into_bytes())
}

/// Checks a proof in constant time.
pub fn is_proven(expected: &[u8], given: &[u8]) -> bool {
    !expected.is_empty() && bool::from(expected.ct_eq(given))
}
