//! Checks that a caller which stops reading or sending cannot keep a connection open.

use filberttrail_web::{Body, Limits, Response, server};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// More bytes than the socket buffers on both ends can hold.
const LARGE: usize = 64 << 20;

async fn start(limits: Limits) -> (SocketAddr, watch::Sender<bool>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let handler = |_| async { Response::new(Body::new(vec![0; LARGE])) };
    (address, stop, tokio::spawn(server::serve(listener, limits, stopped, handler)))
}

#[tokio::test]
async fn closes_a_connection_whose_caller_stops_reading() {
    let limits = Limits { slow_wait: Duration::from_millis(200), ..Limits::default() };
    let (address, stop, serving) = start(limits).await;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    caller.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("a request");
    let mut first = [0; 16];
    caller.read_exact(&mut first).await.expect("the start of the response");
    stop.send_replace(true);
    // The caller keeps its connection open, so the server can stop only by closing it.
    serving.await.expect("the server stops");
    let mut rest = Vec::new();
    let read = caller.read_to_end(&mut rest).await;
    assert!(read.is_err() || rest.len() < LARGE, "the caller received the complete response");
}

#[tokio::test]
async fn closes_a_connection_whose_caller_sends_no_complete_head() {
    let limits = Limits { header_wait: Duration::from_millis(200), ..Limits::default() };
    let (address, stop, serving) = start(limits).await;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    caller.write_all(b"GET / HTTP/1.1\r\nhost:").await.expect("half a head");
    let mut response = Vec::new();
    let _ = caller.read_to_end(&mut response).await;
    assert!(!response.starts_with(b"HTTP/1.1 200"));
    stop.send_replace(true);
    serving.await.expect("the server stops");
}

#[tokio::test]
async fn answers_connections_that_wait_to_be_accepted_when_it_stops() {
    const CALLERS: usize = 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let handler = |_| async { Response::new(Body::new("done")) };
    // The connections are complete and their requests sent before the server accepts any.
    let mut callers: Vec<std::net::TcpStream> = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = std::net::TcpStream::connect(address).expect("a connection");
        std::io::Write::write_all(&mut caller, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("sent");
        callers.push(caller);
    }
    stop.send_replace(true);
    server::serve(listener, Limits::default(), stopped, handler).await;
    for (number, caller) in callers.into_iter().enumerate() {
        caller.set_nonblocking(true).expect("a socket option");
        let mut caller = TcpStream::from_std(caller).expect("a stream");
        let mut response = Vec::new();
        let _ = caller.read_to_end(&mut response).await;
        assert!(response.starts_with(b"HTTP/1.1 200"), "caller {number} got no answer");
    }
}
