//! The crowd: connections that send bodies in chunks of one byte.

use super::Load;
use filberttrail_declare::sample;
use filberttrail_dev::Component;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A chunk of one byte.
const CHUNK: &str = "1\r\nx\r\n";
/// Interval at which a connection sends the chunks that are due, in one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a connection is opened again after it was refused or closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time without progress after which a connection is opened again.
const STALL: Duration = Duration::from_secs(1);

/// A running crowd, on a thread of its own.
pub struct Flood {
    component: Component,
    connections: usize,
    chunks: Arc<AtomicU64>,
}

impl Flood {
    /// Starts to send to an address.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when the thread is started.
    pub fn start(address: SocketAddr, load: Load) -> std::io::Result<Self> {
        let chunks = Arc::new(AtomicU64::new(0));
        let sent = chunks.clone();
        let per_write = (load.chunks_per_second as f64 * WRITE_INTERVAL.as_secs_f64()).ceil();
        let component = Component::start("crowd", move |_, _| async move {
            let mut connections = JoinSet::new();
            for _ in 0..load.connections {
                connections.spawn(send_forever(address, per_write as usize, sent.clone()));
            }
            while connections.join_next().await.is_some() {}
        })?;
        Ok(Self { component, connections: load.connections, chunks })
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Returns the number of chunks sent so far.
    pub fn count_chunks(&self) -> u64 {
        self.chunks.load(Ordering::Relaxed)
    }

    /// Closes all connections.
    pub fn stop(self) {
        self.component.kill();
    }
}

/// Sends bodies that never end, and the next one when a connection is closed.
async fn send_forever(address: SocketAddr, chunks_per_write: usize, sent: Arc<AtomicU64>) {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: filberttrail\r\nAuthorization: Bearer {}\r\n\
         Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        sample::team_key(0)
    );
    let piece = CHUNK.repeat(chunks_per_write.max(1));
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await
            && stream.write_all(head.as_bytes()).await.is_ok()
        {
            let mut interval = tokio::time::interval(WRITE_INTERVAL);
            loop {
                interval.tick().await;
                let writing = stream.write_all(piece.as_bytes());
                if !matches!(tokio::time::timeout(STALL, writing).await, Ok(Ok(()))) {
                    break;
                }
                sent.fetch_add(chunks_per_write.max(1) as u64, Ordering::Relaxed);
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}
