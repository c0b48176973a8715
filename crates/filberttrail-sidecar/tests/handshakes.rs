//! Handshakes of strangers make room for new ones.

use filberttrail_sidecar::handshakes::Handshakes;

/// Guards against strangers that keep entries out by doing nothing.
#[tokio::test]
async fn the_oldest_handshake_ends_when_the_limit_is_reached() {
    let mut handshakes = Handshakes::new(2);
    let mut running = Vec::new();
    for _ in 0..3 {
        handshakes.make_room();
        let handshake = tokio::spawn(std::future::pending::<()>());
        handshakes.add(handshake.abort_handle());
        running.push(handshake);
    }
    assert!(running.remove(0).await.is_err_and(|error| error.is_cancelled()));
    assert!(running.iter().all(|handshake| !handshake.is_finished()));
}
