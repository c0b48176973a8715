//! Admission control at an entry: capacity shares of teams, a bounded queue and a retry budget.

pub mod budget;
pub mod shares;

pub use budget::Budget;
pub use shares::{Decision, Shares};
