//! What the soak knows of an upstream that a request ends.

use filberttrail_platform_stand_in::{Call, Kind};
use filberttrail_soak::endpoint::{Endpoint, HARMFUL_BODY};
use filberttrail_web::Body;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

#[tokio::test]
async fn an_upstream_has_ended_before_its_callers_see_that() {
    let endpoint = Endpoint::new(0).await.expect("an endpoint");
    let stream = TcpStream::connect(endpoint.link.address).await.expect("a connection");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("a handshake");
    let connection = tokio::spawn(connection);
    let call = Call {
        id: "harm-0".to_string(),
        kind: Kind::Read,
        key: String::new(),
        timeout: Duration::from_secs(10),
    };
    let mut request = call.request();
    *request.body_mut() = Body::new(HARMFUL_BODY);
    assert_eq!(endpoint.upstream.ended_at(), None);
    sender.send_request(request).await.expect_err("the upstream ends");
    let seen_at = Instant::now();
    let _ = connection.await;
    let ended_at = endpoint.upstream.ended_at().expect("it has ended");
    assert!(ended_at <= seen_at, "{ended_at:?}, seen at {seen_at:?}");
}
