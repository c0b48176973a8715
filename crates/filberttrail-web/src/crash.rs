//! Finds out whether an upstream crashed.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Timeout for a connection to an upstream that may have crashed. A live one accepts within
/// milliseconds, and the system of a crashed one refuses as fast.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection that is still open shows that its upstream lives. One that ends
/// closes its connections and its listener within milliseconds, in any order.
const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections to find out whether an upstream crashed.
const PROBES: u32 = 3;

/// Returns whether no process listens at an upstream's address any more. A connection that was only
/// reset, or an upstream that cannot be reached, is no evidence.
pub async fn has_crashed(address: SocketAddr) -> bool {
    for _ in 0..PROBES {
        let probing = tokio::time::timeout(PROBE_TIMEOUT, probe(address));
        match probing.await {
            Ok(Ok(closed)) if closed => {}
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            _ => return false,
        }
    }
    false
}

/// Opens a connection. Returns whether it is closed at once.
async fn probe(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let mut byte = [0];
    let read = tokio::time::timeout(CLOSE_DELAY, stream.read(&mut byte)).await;
    Ok(matches!(read, Ok(Ok(0) | Err(_))))
}
