//! Which requests ask for the same.

use filberttrail_fleet::Route;
use filberttrail_fleet::route::Kind;
use filberttrail_gateway::caller_request::digest;
use hyper::Method;
use std::time::Duration;

fn route(name: &str, host: &str, service: &str) -> Route {
    Route {
        name: name.to_string(),
        host: host.to_string(),
        prefix: "/pay/".to_string(),
        kind: Kind::Unsafe,
        timeout: Duration::from_secs(4),
        target: Duration::from_millis(400),
        priority: 1,
        split: vec![(service.to_string(), 1)],
        attempts: 1,
        anonymous: true,
        resumes: false,
    }
}

#[test]
fn requests_that_differ_in_what_they_ask_for_have_other_digests() {
    let desk = route("pay", "desk.example", "desk");
    let part = ["part".to_string()];
    let digests = [
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("north"), &part, b"x"),
        digest(&desk, &Method::PUT, "/pay/1?a=1&b=2", Some("north"), &part, b"x"),
        digest(&desk, &Method::POST, "/pay/1?b=2&a=1", Some("north"), &part, b"x"),
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("south"), &part, b"x"),
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", None, &part, b"x"),
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("north"), &[], b"x"),
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("north"), &part, b""),
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("north"), &part, &[b'x'; 1 << 20]),
        // The same bytes divided into other fields.
        digest(&desk, &Method::POST, "/pay/1?a=1&b=2", Some("northx"), &part, b""),
        digest(
            &route("pay", "other.example", "desk"),
            &Method::POST,
            "/pay/1?a=1&b=2",
            Some("north"),
            &part,
            b"x",
        ),
    ];
    for (index, digest) in digests.iter().enumerate() {
        assert!(!digests[..index].contains(digest), "digest {index}");
    }
}

#[test]
fn a_request_is_the_same_when_its_route_moves_to_another_service() {
    let before = route("pay", "desk.example", "desk");
    let after = route("pay-again", "desk.example", "counter");
    let digest = |route| digest(route, &Method::POST, "/pay/1", Some("north"), &[], b"x");
    assert_eq!(digest(&before), digest(&after));
}
