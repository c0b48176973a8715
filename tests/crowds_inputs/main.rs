//! Crowds of hostile or broken peers at the inputs of an entry, a sidecar and a rebalancer: the process
//! stays alive, within its memory and its descriptors, and answers an ordinary request afterwards,
//! while the crowd keeps its connections open.
//!
//! Nothing here depends on the speed of the VM. The tests run one at a time.

mod crowd;
mod estate;
mod limits;
mod rebalancer;

use crowd::Crowd;
use estate::{Estate, KEY, LARGE_BYTES};
use rebalancer::Rebalancer;
use std::sync::LazyLock;
use tokio::sync::Mutex;

/// Largest request body of an entry and of a rebalancer, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// Number of hostile clients.
const CROWD: usize = 120;
/// Number of hostile clients that send little. More than the descriptors allow.
const IDLE_CROWD: usize = 420;
/// Size of a piece, in bytes.
const PIECE: usize = 64 << 10;

/// The upgrade of a connection to WebSocket.
const UPGRADE: &str = "GET /frames HTTP/1.1\r\nHost: sidecar\r\nConnection: Upgrade\r\n\
                       Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                       Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// Held by the test that runs, as each of them needs the VM for itself.
static ALONE: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

fn service_call(method: &str, path: &str) -> String {
    format!(
        "{method} /services/counter{path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n"
    )
}

fn announced(head: String, length: usize, sent: usize) -> Crowd {
    let head = format!("{head}Content-Length: {length}\r\n\r\n");
    let pieces = sent / PIECE;
    Crowd::new(head.into_bytes(), vec![b'x'; PIECE], pieces)
        .with_last(vec![b'x'; sent - pieces * PIECE])
}

/// Guards against request bodies whose sum exceeds the memory of an entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_before_their_end_at_an_entry() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let crowd = announced(service_call("POST", "/payments"), BODY_LIMIT, BODY_LIMIT - 1);
    let connections = crowd.send(estate.callers(), CROWD).await;
    estate.wait_until_read(estate.callers()).await;
    estate.check("bodies").await;
    drop(connections);
}

/// Guards against bodies that are read although their announced length is over the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_far_over_the_limit_at_an_entry() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let crowd = announced(service_call("POST", "/payments"), 64 * BODY_LIMIT, BODY_LIMIT);
    let connections = crowd.send(estate.callers(), CROWD).await;
    estate.wait_until_read(estate.callers()).await;
    estate.check("bodies over the limit").await;
    drop(connections);
}

/// Guards against chunks of which each keeps a read buffer of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_of_one_byte_at_an_entry() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", service_call("POST", "/payments"));
    let chunks = "1\r\nx\r\n".repeat(2_048).into_bytes();
    let connections = Crowd::new(head.into_bytes(), chunks, 8).send(estate.callers(), CROWD).await;
    estate.wait_until_read(estate.callers()).await;
    estate.check("chunks of one byte").await;
    drop(connections);
}

/// Guards against responses that an entry and a sidecar hold for callers that read nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_large_responses_to_the_end() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let head = format!("{}\r\n", service_call("GET", "/large"));
    let crowd = Crowd::new(head.into_bytes(), Vec::new(), 0);
    let connections = crowd.send(estate.callers(), CROWD).await;
    estate.wait_for_large_responses(CROWD * LARGE_BYTES).await;
    estate.check("slow readers").await;
    drop(connections);
}

/// Guards against long messages of peers that have not proved the secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_frames_of_strangers_at_a_sidecar() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let crowd = Crowd::new(frame_start(15 << 20), vec![b'x'; PIECE], 32);
    let crowd = crowd.with_upgrade(UPGRADE.as_bytes().to_vec());
    let connections = crowd.send(estate.sidecar_frames, CROWD).await;
    estate.wait_until_read(estate.sidecar_frames).await;
    estate.check("long frames").await;
    drop(connections);
}

/// Guards against connections that occupy the descriptors of a sidecar.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_strangers_at_a_sidecar() {
    let _alone = ALONE.lock().await;
    let mut estate = Estate::start().await;
    let crowd = Crowd::new(Vec::new(), Vec::new(), 0);
    let crowd = crowd.with_upgrade(UPGRADE.as_bytes().to_vec());
    let watch = estate.watch_descriptors();
    let connections = crowd.send(estate.sidecar_frames, IDLE_CROWD).await;
    watch.stop().await.check("idle strangers");
    estate.check("idle strangers").await;
    drop(connections);
}

/// Guards against crowds at the ports for operators, which share the descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_at_admin_ports() {
    let _alone = ALONE.lock().await;
    for name in ["entry", "sidecar"] {
        let mut estate = Estate::start().await;
        let address = match name {
            "entry" => estate.entry_admin(),
            _ => estate.sidecar_admin(),
        };
        let head = "GET /live HTTP/1.1\r\nHost: a\r\n".to_string();
        let crowd = Crowd::new(head.into_bytes(), Vec::new(), 0);
        let watch = estate.watch_descriptors();
        let connections = crowd.send(address, IDLE_CROWD).await;
        watch.stop().await.check(name);
        estate.check(name).await;
        drop(connections);
    }
}

/// Guards against calls whose sum exceeds the memory of a rebalancer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_before_their_end_at_a_rebalancer() {
    let _alone = ALONE.lock().await;
    let mut rebalancer = Rebalancer::start().await;
    let head = "POST / HTTP/1.1\r\nHost: rebalancer\r\n".to_string();
    let crowd = announced(head, BODY_LIMIT, BODY_LIMIT - 1);
    let watch = rebalancer.watch_descriptors();
    let connections = crowd.send(rebalancer.address, IDLE_CROWD).await;
    rebalancer.wait_until_read().await;
    watch.stop().await.check("bodies");
    rebalancer.check("bodies").await;
    drop(connections);
}

/// Guards against a call that makes a rebalancer open more connections than it has descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_names_many_members() {
    let _alone = ALONE.lock().await;
    let mut rebalancer = Rebalancer::start().await;
    let watch = rebalancer.watch_descriptors();
    let crowd = Crowd::new(rebalancer.call_naming_members(4_000), Vec::new(), 0);
    let connections = crowd.send(rebalancer.address, 8).await;
    rebalancer.check("many members").await;
    watch.stop().await.check("many members");
    drop(connections);
}

/// Returns the header of a final binary WebSocket frame with a mask and a length of 64 bits (RFC 6455,
/// section 5.2).
fn frame_start(length: u64) -> Vec<u8> {
    let mut start = vec![0x82, 0xff];
    start.extend(length.to_be_bytes());
    start.extend([0; 4]);
    start
}
