//! An attempt that was sent to a sidecar.

use crate::events::Sender;
use filberttrail_state::Assembly;

/// An attempt that was sent to the sidecar and has not ended.
pub struct PendingAttempt {
    /// Where the events of the attempt go.
    pub events: Sender,
    /// Which chunks of the response have arrived.
    pub assembly: Assembly,
    /// Whether the response head has arrived.
    pub has_head: bool,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
}

impl PendingAttempt {
    /// Creates an attempt without a response.
    pub fn new(events: Sender, repeatable: bool) -> Self {
        Self { events, assembly: Assembly::new(), has_head: false, repeatable }
    }
}
