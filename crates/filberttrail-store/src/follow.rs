//! Watches the configuration in force.

use crate::client::Platform;
use crate::configuration::{IN_FORCE, read_part};
use bytes::Bytes;
use filberttrail_kernel::Result;
use filberttrail_kernel::id::Version;
use std::time::Duration;
use tokio::sync::mpsc;

/// The duration of one watch request. An unresponsive connection is detected soon after it.
pub const WATCH_DURATION: Duration = Duration::from_millis(2_000);
/// The initial delay before a retry, doubled after each failure up to [`RETRY_DELAY_LIMIT`].
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum delay before a retry.
const RETRY_DELAY_LIMIT: Duration = Duration::from_millis(1_600);

/// Sends each manifest that comes into force, in JSON, until the channel closes.
///
/// Manifests that are replaced between two watch requests are skipped.
pub async fn follow(platform: &Platform, manifests: mpsc::Sender<Bytes>) {
    let mut version = 0;
    let mut delay = RETRY_DELAY;
    while !manifests.is_closed() {
        match watch_once(platform, &mut version, &manifests).await {
            Ok(()) => delay = RETRY_DELAY,
            Err(error) => {
                log::warn!("cannot watch the configuration: {}", error.current_context());
                tokio::time::sleep(jitter(delay)).await;
                delay = (delay * 2).min(RETRY_DELAY_LIMIT);
            }
        }
    }
}

async fn watch_once(
    platform: &Platform,
    version: &mut Version,
    manifests: &mpsc::Sender<Bytes>,
) -> Result<()> {
    let Some(object) = platform.watch(IN_FORCE, *version, WATCH_DURATION).await? else {
        return Ok(());
    };
    // A stale replica may return an older version: keep waiting for a newer one.
    if object.version > *version {
        *version = object.version;
        let _ = manifests.send(object.value).await;
    }
    Ok(())
}

/// Reads parts one by one; logs and omits those that cannot be read.
pub async fn fetch_parts(platform: &Platform, digests: &[String]) -> Vec<(String, Bytes)> {
    let mut parts = Vec::new();
    for digest in digests {
        match read_part(platform, digest).await {
            Ok(bytes) => parts.push((digest.clone(), bytes)),
            Err(error) => log::warn!("cannot read a part: {}", error.current_context()),
        }
    }
    parts
}

/// Returns a random delay between half of `delay` and `delay`, so that processes that failed at the
/// same time do not retry at the same time.
pub fn jitter(delay: Duration) -> Duration {
    delay / 2 + delay.mul_f64(fastrand::f64() / 2.0)
}
