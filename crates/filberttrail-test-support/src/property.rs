//! Property tests with fixed seeds, so that each run checks the same cases.

use quickcheck::{Gen, QuickCheck, Testable};

/// Number of cases per property.
const CASES: u64 = 300;
/// Size parameter of the generator, which bounds the size of a case.
const CASE_SIZE: usize = 60;

/// Checks a property on cases that are generated from `seed`; panics on a counterexample.
pub fn check<P: Testable>(seed: u64, property: P) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASE_SIZE, seed))
        .tests(CASES)
        .quickcheck(property);
}
