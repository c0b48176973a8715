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

/// Answers the first request on a connection with a refusal, which it writes once more before the
/// answer to each later one.
async fn repeat_refusal(mut connection: TcpStream, refuses: bool) {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let mut buffer = [0; 1024];
    let mut answered = 0;
    while matches!(connection.read(&mut buffer).await, Ok(read) if read > 0) {
        let response = match (refuses, answered) {
            (true, 0) => REFUSAL.to_vec(),
            (true, _) => [REFUSAL, RESPONSE].concat(),
            (false, _) => RESPONSE.to_vec(),
        };
        answered += 1;
        if connection.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Guards against an earlier refusal that is taken for that of the next request, which runs.
#[tokio::test]
async fn connections_are_kept_only_after_responses_that_allow_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut refuses = true;
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(repeat_refusal(connection, std::mem::take(&mut refuses)));
        }
    });
    let client = Client::new().with_kept(|status| status.is_success());
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let response = client.call(address, Method::GET, "/", Vec::new(), TIMEOUT, 64).await;
        statuses.push(response.expect("a response").status().as_u16());
    }
    assert_eq!(statuses, [503, 200, 200]);
}
