//! Routing policies, which choose the upstream for a request. Policies are pure functions that
//! register themselves by name.

pub mod candidate;
pub mod expected_wait;
pub mod least_requests;
pub mod policy;
pub mod prefix;
pub mod round_robin;
pub mod subset;
pub mod two_choices;

pub use candidate::{Candidate, Request};
pub use policy::Policy;
pub use prefix::Index;
