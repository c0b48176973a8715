//! Commands that check, compare and apply declarations.

pub mod apply;
pub mod check;
pub mod diff;
pub mod source;
