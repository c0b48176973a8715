//! How the client treats connections that are open but no longer answered. The clock is simulated:
//! it advances whenever all tasks wait.

use filberttrail_web::Client;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_millis(1_500);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers each request on a connection until `silent` is set at the arrival of a request.
async fn answer(mut connection: TcpStream, silent: Arc<AtomicBool>) {
    let mut buffer = [0; 1024];
    while matches!(connection.read(&mut buffer).await, Ok(read) if read > 0) {
        if silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        // Lets several requests be open at once, so that each gets a connection of its own.
        tokio::time::sleep(Duration::from_millis(10)).await;
        if connection.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

async fn call(client: &Client, address: SocketAddr) -> bool {
    client.call(address, Method::GET, "/", Vec::new(), TIMEOUT, 64).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn after_a_timeout_other_idle_connections_are_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let silent = Arc::new(AtomicBool::new(false));
    let silence = silent.clone();
    tokio::spawn(async move {
        let mut of_before = true;
        while let Ok((connection, _)) = listener.accept().await {
            // Only connections that were opened before they fell silent are affected.
            of_before &= !silence.load(Ordering::Relaxed);
            let silence = if of_before { silence.clone() } else { Arc::default() };
            tokio::spawn(answer(connection, silence));
        }
    });
    let client = Client::new();
    let opened = (0..5).map(|_| call(&client, address));
    assert!(futures::future::join_all(opened).await.into_iter().all(|succeeded| succeeded));
    silent.store(true, Ordering::Relaxed);
    assert!(!call(&client, address).await, "the connection of the first call is silent");
    assert!(call(&client, address).await, "the next call needs a new connection");
}
