//! What a link does to the bytes that it carries.

use filberttrail_soak::fault::Harm;
use filberttrail_soak::link::Link;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than a loopback takes by far.
const WAIT: Duration = Duration::from_secs(10);
/// In which nothing is to come.
const NOTHING: Duration = Duration::from_millis(100);

/// A far end that sends back what it gets.
async fn start() -> Link {
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

async fn echo(stream: &mut TcpStream, wait: Duration) -> Option<std::io::Result<usize>> {
    stream.write_all(b"x").await.ok()?;
    tokio::time::timeout(wait, stream.read(&mut [0; 8])).await.ok()
}

#[tokio::test]
async fn a_cut_holds_bytes_until_it_is_mended() {
    for harm in [Harm::CutToward, Harm::CutBack] {
        let link = start().await;
        let mut stream = TcpStream::connect(link.address).await.expect("a connection");
        assert_eq!(echo(&mut stream, WAIT).await.expect("an echo").expect("bytes"), 1);
        link.harm(harm);
        assert!(echo(&mut stream, NOTHING).await.is_none(), "{harm}");
        link.mend();
        let read = tokio::time::timeout(WAIT, stream.read(&mut [0; 8])).await;
        assert_eq!(read.expect("an echo").expect("bytes"), 1, "{harm}");
    }
}

#[tokio::test]
async fn silence_lasts_for_open_connections_and_spares_new_ones() {
    let link = start().await;
    let mut old = TcpStream::connect(link.address).await.expect("a connection");
    echo(&mut old, WAIT).await.expect("an echo").expect("bytes");
    link.harm(Harm::Silence);
    link.mend();
    assert!(echo(&mut old, NOTHING).await.is_none());
    let mut new = TcpStream::connect(link.address).await.expect("a connection");
    assert_eq!(echo(&mut new, WAIT).await.expect("an echo").expect("bytes"), 1);
}

#[tokio::test]
async fn a_reset_ends_open_connections_with_an_error() {
    let link = start().await;
    let mut stream = TcpStream::connect(link.address).await.expect("a connection");
    echo(&mut stream, WAIT).await.expect("an echo").expect("bytes");
    link.harm(Harm::Reset);
    let read = tokio::time::timeout(WAIT, stream.read(&mut [0; 8])).await.expect("an end");
    assert!(read.is_err(), "{read:?}");
}

#[tokio::test]
async fn a_delayed_link_is_slow() {
    let link = start().await;
    let mut stream = TcpStream::connect(link.address).await.expect("a connection");
    link.harm(Harm::Delay(Duration::from_millis(150)));
    assert!(echo(&mut stream, NOTHING).await.is_none());
}
