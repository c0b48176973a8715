//! The effect of each impairment of a link on the data that it carries.

use filberttrail_soak::fault::Impairment;
use filberttrail_soak::link::Link;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout for data that must arrive. Much longer than loopback needs.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which data that is held back must not arrive.
const NO_DATA_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a server that echoes all data, and a link to it.
async fn start_echo_link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::start(listener.local_addr().expect("an address")).await.expect("a link");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    link
}

/// Sends one byte and returns the result of the next read, or `None` if nothing arrives in time.
async fn send_and_read(
    stream: &mut TcpStream,
    timeout: Duration,
) -> Option<std::io::Result<usize>> {
    stream.write_all(b"x").await.ok()?;
    tokio::time::timeout(timeout, stream.read(&mut [0; 8])).await.ok()
}

#[tokio::test]
async fn blocked_data_arrives_when_the_link_is_restored() {
    for impairment in [Impairment::BlockForward, Impairment::BlockReturn] {
        let link = start_echo_link().await;
        let mut stream = TcpStream::connect(link.address).await.expect("a connection");
        assert_eq!(
            send_and_read(&mut stream, READ_TIMEOUT).await.expect("an echo").expect("bytes"),
            1
        );
        link.impair(impairment);
        assert!(send_and_read(&mut stream, NO_DATA_TIMEOUT).await.is_none(), "{impairment}");
        link.restore();
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut [0; 8])).await;
        assert_eq!(read.expect("an echo").expect("bytes"), 1, "{impairment}");
    }
}

#[tokio::test]
async fn a_blackhole_is_permanent_for_open_connections_and_spares_new_ones() {
    let link = start_echo_link().await;
    let mut old = TcpStream::connect(link.address).await.expect("a connection");
    send_and_read(&mut old, READ_TIMEOUT).await.expect("an echo").expect("bytes");
    link.impair(Impairment::Blackhole);
    link.restore();
    assert!(send_and_read(&mut old, NO_DATA_TIMEOUT).await.is_none());
    let mut new = TcpStream::connect(link.address).await.expect("a connection");
    assert_eq!(send_and_read(&mut new, READ_TIMEOUT).await.expect("an echo").expect("bytes"), 1);
}

#[tokio::test]
async fn a_reset_fails_reads_on_open_connections() {
    let link = start_echo_link().await;
    let mut stream = TcpStream::connect(link.address).await.expect("a connection");
    send_and_read(&mut stream, READ_TIMEOUT).await.expect("an echo").expect("bytes");
    link.impair(Impairment::Reset);
    let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut [0; 8])).await.expect("an end");
    assert!(read.is_err(), "{read:?}");
}

#[tokio::test]
async fn a_delay_holds_back_data() {
    let link = start_echo_link().await;
    let mut stream = TcpStream::connect(link.address).await.expect("a connection");
    link.impair(Impairment::Delay(Duration::from_millis(150)));
    assert!(send_and_read(&mut stream, NO_DATA_TIMEOUT).await.is_none());
}
