//! An attempt to send a request that came to nothing, with its trial.

use crate::exchange::Failed;
use crate::trial::Trial;

/// An attempt that came to nothing.
pub struct Failure {
    /// Why it failed.
    pub failed: Failed,
    /// The trial, whose outcome is not recorded yet. `None` if the upstream survived the request.
    pub trial: Option<Trial>,
}
