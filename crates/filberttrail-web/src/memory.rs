//! The memory that a process holds on behalf of others, within a budget.

mod account;
mod budget;
mod buffer;
mod cause;
mod charge;
mod event;
mod hold;
mod part;
mod sizes;

pub use budget::Budget;
pub use buffer::Buffer;
pub use cause::Cause;
pub use charge::Charge;
pub use event::Event;
pub use hold::Hold;
pub use part::Part;
pub use sizes::Sizes;

/// Size up to which a body that is complete after one read is charged without being listed, in bytes.
/// This is the size of the HTTP library's first read buffer, which such a body keeps.
pub const SMALL_BODY: usize = 8_192;
