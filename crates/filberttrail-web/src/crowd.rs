//! The decision about which body gives way when memory is short, without I/O.

mod holder;
mod ledger;
mod report;
mod shortage;

pub use holder::Holder;
pub use ledger::Ledger;
pub use report::Report;
pub use shortage::Shortage;
