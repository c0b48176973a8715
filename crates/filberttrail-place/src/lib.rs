//! Expert placement: computes which rank of a group holds which experts, and limits how many expert
//! weights a change of that map moves.
//!
//! Placers, which compute the next map of one layer and are selected by name:
//!
//! - [`few_moves`] improves the current map by the moves with the highest gain per weight.
//! - [`full_repack`] computes a map from scratch and ignores the cost of moves; a baseline.
//! - [`never`] leaves the map unchanged; the baseline without moves.
//!
//! [`spread`] is not a registered placer: it changes the maps of all layers of a group together,
//! within the number of experts that each rank may copy.
//!
//! Data types: [`map`] (which rank holds which experts), [`popularity`] (load per expert),
//! [`placer`] (the registry and the constraints of placers) and [`allowance`] (the budget of expert
//! weights that the decisions for a layer may fetch, a token bucket).

pub mod allowance;
pub mod few_moves;
pub mod full_repack;
pub mod map;
pub mod never;
pub mod placer;
pub mod popularity;
pub(crate) mod rank_times;
pub mod spread;

pub use allowance::Allowance;
pub use map::Map;
pub use placer::{Constraints, Placer};
pub use popularity::Popularity;
