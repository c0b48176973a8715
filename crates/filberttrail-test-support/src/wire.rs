//! An HTTP/1 client that sends exactly the bytes that it is given, well-formed or not.

use crate::response::Response;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which a server must respond or close the connection. Longer than any timeout of the
/// servers under test, so that only a server that hangs exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Time without progress after which a server counts as reading no more.
const STALL: Duration = Duration::from_secs(1);

/// A connection to a server.
pub struct Wire {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Wire {
    /// Connects to a server.
    ///
    /// # Panics
    ///
    /// If the server does not accept the connection.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await;
        Self { stream: stream.expect("the server accepts connections"), received: Vec::new() }
    }

    /// Sends bytes; returns whether the connection took all of them.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        matches!(timeout(ANSWER_TIMEOUT, self.stream.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Sends a piece again and again, reading nothing, until the server reads no more, closes the
    /// connection, or has been sent this many pieces. Returns the number of pieces sent.
    pub async fn flood(&mut self, piece: &[u8], pieces: usize) -> usize {
        for sent in 0..pieces {
            if !matches!(timeout(STALL, self.stream.write_all(piece)).await, Ok(Ok(()))) {
                return sent;
            }
        }
        pieces
    }

    /// Announces that no more bytes follow.
    pub async fn finish(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Closes the connection with a reset, as a client does that crashes.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Waits for the next response. Returns `None` if the connection ends before it is complete.
    ///
    /// # Panics
    ///
    /// If neither happens in time.
    pub async fn response(&mut self) -> Option<Response> {
        let reading = async {
            loop {
                if let Some(response) = self.take_response() {
                    return Some(response);
                }
                if !matches!(self.stream.read_buf(&mut self.received).await, Ok(1..)) {
                    return None;
                }
            }
        };
        let response = timeout(ANSWER_TIMEOUT, reading).await;
        response.expect("the server responds or closes the connection")
    }

    /// Waits until the server closes the connection, and discards what it sends before.
    ///
    /// # Panics
    ///
    /// If the server doesn't close it in time.
    pub async fn closed(&mut self) {
        let mut buffer = vec![0; 64 << 10];
        let reading = async { while let Ok(1..) = self.stream.read(&mut buffer).await {} };
        timeout(ANSWER_TIMEOUT, reading).await.expect("the server closes the connection");
    }

    /// Takes a complete response out of the received bytes.
    fn take_response(&mut self) -> Option<Response> {
        let end = self.received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse::<usize>().ok())?
        });
        let length = length.unwrap_or_default();
        if self.received.len() < end + length {
            return None;
        }
        let mut message: Vec<u8> = self.received.drain(..end + length).collect();
        let body = message.split_off(end);
        Some(Response { status, head, body })
    }
}
