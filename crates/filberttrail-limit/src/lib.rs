//! Admission control: capacity shares of teams, a bounded queue, a retry budget, and memory that many
//! messages share.

pub mod body;
pub mod budget;
pub mod holding;
pub mod memory;
pub mod shares;

pub use budget::Budget;
pub use holding::Holding;
pub use memory::Memory;
pub use shares::{Decision, Shares};
