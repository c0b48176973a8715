//! The text that the stand-in engine generates.
//!
//! The text is a pure function of the prompt, so that a test can check that a response is complete
//! and belongs to its own request.

use filberttrail_kernel::digest::{mix, stable_hash};

/// Returns the word at an index, from 0, of the response to a prompt.
pub fn generate_word(prompt: &str, index: u64) -> String {
    let hash = mix(stable_hash(prompt.as_bytes()), index);
    format!("w{:04} ", hash % 10_000)
}

/// Returns the complete response to a prompt, with this number of words.
pub fn generate(prompt: &str, words: u64) -> String {
    (0..words).map(|index| generate_word(prompt, index)).collect()
}
