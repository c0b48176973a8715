//! Many connections of hostile clients, most of which stop before the end of their message.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time after which a client sends no more, if the process reads nothing.
const STALL: Duration = Duration::from_secs(1);

/// What each client of a crowd sends before it stops and keeps its connection open.
pub struct Crowd {
    start: Vec<u8>,
    piece: Vec<u8>,
    pieces: usize,
    last: Vec<u8>,
    upgrade: Vec<u8>,
}

impl Crowd {
    /// Creates a crowd that sends a start and then this number of pieces.
    pub fn new(start: Vec<u8>, piece: Vec<u8>, pieces: usize) -> Self {
        Self { start, piece, pieces, last: Vec::new(), upgrade: Vec::new() }
    }

    /// Sets what each client sends after all pieces.
    pub fn with_last(self, last: Vec<u8>) -> Self {
        Self { last, ..self }
    }

    /// Sets a request that each client sends first, and whose response it waits for.
    pub fn with_upgrade(self, upgrade: Vec<u8>) -> Self {
        Self { upgrade, ..self }
    }

    /// Sends from this many clients at once, and returns their open connections when no client can
    /// send more.
    pub async fn send(&self, address: SocketAddr, clients: usize) -> Vec<TcpStream> {
        let mut sending = JoinSet::new();
        for _ in 0..clients {
            let mut parts = vec![self.start.clone()];
            parts.extend(std::iter::repeat_n(self.piece.clone(), self.pieces));
            parts.push(self.last.clone());
            let upgrade = self.upgrade.clone();
            sending.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                if !upgrade.is_empty() {
                    stream.write_all(&upgrade).await.ok()?;
                    let _ = tokio::time::timeout(STALL, stream.readable()).await;
                }
                for part in parts {
                    match tokio::time::timeout(STALL, stream.write_all(&part)).await {
                        Ok(Ok(())) => {}
                        _ => break,
                    }
                }
                Some(stream)
            });
        }
        sending.join_all().await.into_iter().flatten().collect()
    }
}
