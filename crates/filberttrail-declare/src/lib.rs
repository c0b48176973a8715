//! Declarations: the configuration that operators write, keep in version control and apply.
//!
//! Files are parsed into [`Declarations`], which are checked and split into content-addressed
//! parts. A [`Manifest`] refers to the parts in force by their digests. A [`View`] indexes the
//! configuration in force for the threads that handle requests.

pub mod check;
pub mod diff;
pub mod load;
pub mod manifest;
pub mod model;
pub mod sample;
pub mod store;
pub mod view;

pub use manifest::{Manifest, Operation};
pub use model::Declarations;
pub use store::Store;
pub use view::View;
