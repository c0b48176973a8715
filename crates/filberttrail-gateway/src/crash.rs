//! Finds out whether an answer broke off because its upstream crashed.

use crate::Hub;
use crate::caller_request::CallerRequest;
use crate::exchange::Failed;
use crate::target::Target;
use filberttrail_fleet::blame::PartId;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for a connection to an upstream that may have crashed. A live one accepts within
/// milliseconds, and the system of a crashed one refuses as fast.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before a request is sent again whose upstream crashed before it began, so that what the
/// crash accuses is known by then.
const NEWS_DELAY: Duration = Duration::from_millis(200);

/// Blames the prompt of an answer that had begun for the crash of its upstream, if that is why it
/// broke off. Returns whether it is: the request must not be sent to another upstream then.
///
/// Parts are not to blame that answers have survived recently. `suspects` were on trial.
pub async fn blame_prompt(
    hub: &Hub,
    caller_request: &CallerRequest,
    failed: &Failed,
    target: &Target,
    suspects: &[PartId],
) -> bool {
    if !may_be_crash(hub, caller_request, failed) || !has_crashed(target.address).await {
        return false;
    }
    let parts = &caller_request.part_ids;
    hub.blame.record_crash(&caller_request.id, target, parts, suspects);
    true
}

/// Waits for news of a crash if the upstream crashed before the answer to a request had begun, and
/// the prompt has parts that are not known to be harmless.
pub async fn wait_for_news(
    hub: &Hub,
    caller_request: &CallerRequest,
    failed: &Failed,
    target: &Target,
) {
    if may_be_crash(hub, caller_request, failed) && has_crashed(target.address).await {
        tokio::time::sleep(NEWS_DELAY).await;
    }
}

fn may_be_crash(hub: &Hub, caller_request: &CallerRequest, failed: &Failed) -> bool {
    matches!(failed, Failed::Unknown(_)) && !hub.blame.trusts(&caller_request.part_ids)
}

/// Returns whether no process listens at an address any more. A connection that was only reset, or
/// an upstream that cannot be reached, is no evidence.
async fn has_crashed(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
