//! Expert placement: which rank holds which expert, and which weights a change has to move.

pub mod allowance;
pub mod few_moves;
pub mod full_repack;
pub mod map;
pub mod never;
pub mod placer;
pub mod popularity;
pub mod spread;

pub use allowance::Allowance;
pub use map::Map;
pub use placer::{Constraints, Placer};
pub use popularity::Popularity;
