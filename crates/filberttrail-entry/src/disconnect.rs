//! The end of a connection to a sidecar.

use crate::upstream::Upstream;
use filberttrail_protocol::frame::Failure;
use filberttrail_protocol::{Cause, Ran};
use filberttrail_relay::{Inbox, Message};

/// Returns the failure of an attempt whose connection was lost. The upstream may have run the
/// request, because nothing more is known about it.
pub fn connection_lost() -> Failure {
    Failure { ran: Ran::Unknown, cause: Cause::Lost, retry_after_ms: 1_000 }
}

/// Records the end of a connection, also when its task is cancelled.
pub struct DisconnectGuard<'a> {
    /// The connection to the sidecar.
    pub upstream: &'a Upstream,
    /// The replicator that knows the connection.
    pub replicator: &'a Inbox,
    /// The id of the connection in this process.
    pub connection_id: u64,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.upstream.set_disconnected();
        let _ = self.replicator.send(Message::Disconnected(self.connection_id));
    }
}
