//! Crowds of hostile clients: a gateway process stays alive, within its memory and its descriptors,
//! and answers an ordinary request afterwards, while the crowd keeps its connections open.
//!
//! Nothing here depends on the speed of the VM. The tests run one at a time.

mod flood;
mod gateway;

use flood::Flood;
use gateway::Gateway;
use std::sync::LazyLock;
use tokio::sync::Mutex;

/// Largest request body in the configuration of these tests, in bytes.
const BODY_LIMIT: usize = 1 << 20;
/// Number of hostile clients.
const CROWD: usize = 120;
/// Number of hostile clients at a port that is not for callers. More than the descriptors allow.
const INTERNAL_CROWD: usize = 420;
/// Size of a large piece, in bytes.
const LARGE_PIECE: usize = 64 << 10;

/// Held by the test that runs, as each of them needs the VM for itself.
static ALONE: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// Sends a flood to the callers' port and checks the gateway while the flood's connections are open.
async fn withstand(crowd: usize, flood: Flood) {
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    let connections = flood.send(gateway.front, crowd).await;
    gateway.wait_until_read(gateway.front).await;
    gateway.check(&flood.name).await;
    drop(connections);
}

/// Guards against bodies whose sum exceeds the memory of the VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_announced_bodies_in_large_pieces() {
    withstand(CROWD, Flood::announced("large pieces", BODY_LIMIT, BODY_LIMIT - 1, LARGE_PIECE))
        .await;
}

/// Guards against buffers that stay larger than the pieces in them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_announced_bodies_in_small_pieces() {
    withstand(CROWD, Flood::announced("small pieces", BODY_LIMIT, BODY_LIMIT - 1, 4_096)).await;
}

/// Guards against bodies without an announced length whose sum exceeds the memory of the VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_in_large_chunks() {
    withstand(CROWD, Flood::chunked("large chunks", BODY_LIMIT - 1, LARGE_PIECE)).await;
}

/// Guards against chunks of which each keeps a buffer of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_in_chunks_of_one_byte() {
    withstand(CROWD, Flood::chunked("chunks of one byte", BODY_LIMIT / 64, 1)).await;
}

/// Guards against reading a body that is announced as too large.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_far_over_the_limit() {
    let flood = Flood::announced("announced", 64 * BODY_LIMIT, BODY_LIMIT - 1, LARGE_PIECE);
    withstand(CROWD, flood.and_then(7 * BODY_LIMIT)).await;
}

/// Guards against keeping what was read of a body that turns out to be too large.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_far_over_the_limit() {
    let flood = Flood::chunked("chunked over the limit", BODY_LIMIT - 1, LARGE_PIECE);
    withstand(CROWD, flood.and_then(7 * BODY_LIMIT)).await;
}

/// Guards against heads that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_never_end() {
    withstand(CROWD, Flood::head("heads", 1 << 20)).await;
}

/// Guards against connections without requests that keep callers out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_idle_connections_than_the_gateway_accepts() {
    withstand(INTERNAL_CROWD, Flood::idle("idle connections")).await;
}

/// Guards against responses that are held for callers that read nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_large_responses() {
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    gateway.answer_large(CROWD, 1 << 20);
    let flood = Flood::announced("slow readers", 8, 8, 8);
    let connections = flood.send(gateway.front, CROWD).await;
    gateway.wait_for_runs(CROWD).await;
    gateway.check(&flood.name).await;
    drop(connections);
}

/// Guards against crowds at the ports for other entries, for the readiness probe and for metrics: these
/// share the memory and the descriptors of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_at_internal_ports() {
    let _alone = ALONE.lock().await;
    for port in 0..3 {
        let mut gateway = Gateway::start().await;
        let address = gateway.internal[port];
        let flood = Flood::announced("internal port", 60_000, 59_999, 4_096);
        let connections = flood.send(address, INTERNAL_CROWD).await;
        gateway.wait_until_read(address).await;
        gateway.check(&format!("internal port {port}")).await;
        drop(connections);
    }
}
