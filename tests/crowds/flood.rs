//! The requests of hostile clients, most of which stop just short of their end.

use crate::gateway::KEY;
use filberttrail_platform_stand_in::caller;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time after which a client sends no more, if the gateway reads nothing.
const STALL: Duration = Duration::from_secs(3);

/// The bytes that each client of a crowd sends before it stops and keeps its connection open.
pub struct Flood {
    /// What the clients do, for messages.
    pub name: String,
    start: String,
    piece: Vec<u8>,
    /// Number of pieces that all clients send before any of them sends more.
    first_pieces: usize,
    /// Number of pieces after that.
    more_pieces: usize,
}

impl Flood {
    /// Bodies with a length, of which all clients send a part first, in pieces of this size.
    pub fn announced(name: &str, length: usize, sent: usize, piece: usize) -> Self {
        let rest = "x".repeat(sent % piece);
        let start = format!("{}Content-Length: {length}\r\n\r\n{rest}", head());
        Self::new(name, start, vec![b'x'; piece], sent / piece)
    }

    /// Bodies without a length, of which the last chunk is never sent.
    pub fn chunked(name: &str, sent: usize, chunk: usize) -> Self {
        let start = format!("{}Transfer-Encoding: chunked\r\n\r\n", head());
        let framed = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        // Many small chunks are sent at once, as they arrive in a packet.
        let together = (16_384 / framed.len()).max(1);
        Self::new(name, start, framed.repeat(together).into_bytes(), sent / (chunk * together))
    }

    /// Heads of this size without their last line.
    pub fn head(name: &str, size: usize) -> Self {
        let piece = "X-Filler: x\r\n".repeat(100).into_bytes();
        let pieces = size / piece.len();
        Self::new(name, head(), piece, pieces)
    }

    /// Connections on which nothing is sent.
    pub fn idle(name: &str) -> Self {
        Self::new(name, String::new(), Vec::new(), 0)
    }

    /// Lets each client send more, in pieces of the same size, when all have sent the first part.
    pub fn and_then(mut self, more: usize) -> Self {
        self.more_pieces = more / self.piece.len();
        self
    }

    fn new(name: &str, start: String, piece: Vec<u8>, first_pieces: usize) -> Self {
        Self { name: name.to_string(), start, piece, first_pieces, more_pieces: 0 }
    }

    /// Sends the flood from this many clients, and returns their open connections when no client
    /// can send more.
    pub async fn send(&self, address: SocketAddr, clients: usize) -> Vec<TcpStream> {
        let mut first = JoinSet::new();
        for number in 0..clients {
            let start = self.start.replace("CLIENT", &number.to_string());
            let (piece, pieces) = (self.piece.clone(), self.first_pieces);
            first.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                let sent = stream.write_all(start.as_bytes()).await.is_ok();
                if sent {
                    send_pieces(&mut stream, &piece, pieces).await;
                }
                Some(stream)
            });
        }
        let streams: Vec<TcpStream> = first.join_all().await.into_iter().flatten().collect();
        let mut more = JoinSet::new();
        for mut stream in streams {
            let (piece, pieces) = (self.piece.clone(), self.more_pieces);
            more.spawn(async move {
                send_pieces(&mut stream, &piece, pieces).await;
                stream
            });
        }
        more.join_all().await
    }
}

fn head() -> String {
    caller::raw_head("/pay/crowd", "crowd-CLIENT", KEY, Duration::from_secs(60))
}

/// Sends pieces until the gateway closes the connection or reads nothing more.
async fn send_pieces(stream: &mut TcpStream, piece: &[u8], pieces: usize) {
    for _ in 0..pieces {
        match tokio::time::timeout(STALL, stream.write_all(piece)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}
