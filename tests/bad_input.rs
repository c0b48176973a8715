//! Invalid input on each interface gets a specific error with a remedy and does not affect other
//! requests.

use filberttrail_dev::{Caller, Estate, Options};
use filberttrail_test_support::process::Process;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// An invalid request and the status of its response.
struct Case<'a> {
    description: &'a str,
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
    status: u16,
}

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const PAYMENTS: &str = "/services/counter/payments";

fn invalid_requests() -> Vec<Case<'static>> {
    let case = |description, method, path, headers, body, status| Case {
        description,
        method,
        path,
        headers,
        body,
        status,
    };
    vec![
        case("body that is not JSON", "POST", COMPLETIONS, &[], "{", 400),
        case("JSON that is not an object", "POST", COMPLETIONS, &[], "[1]", 400),
        case("no model", "POST", COMPLETIONS, &[], r#"{"prompt":"x"}"#, 400),
        case("unknown model", "POST", COMPLETIONS, &[], r#"{"model":"y","prompt":"x"}"#, 404),
        case("no prompt", "POST", COMPLETIONS, &[], r#"{"model":"draft"}"#, 400),
        case(
            "prompt that is not a string",
            "POST",
            COMPLETIONS,
            &[],
            r#"{"model":"draft","prompt":7}"#,
            400,
        ),
        case(
            "stream that is not a boolean",
            "POST",
            COMPLETIONS,
            &[],
            r#"{"model":"draft","prompt":"x","stream":"yes"}"#,
            400,
        ),
        case(
            "max_tokens below 1",
            "POST",
            COMPLETIONS,
            &[],
            r#"{"model":"draft","prompt":"x","max_tokens":0}"#,
            400,
        ),
        case(
            "max_tokens that is negative",
            "POST",
            COMPLETIONS,
            &[],
            r#"{"model":"draft","prompt":"x","max_tokens":-4}"#,
            400,
        ),
        case("no messages", "POST", CHAT, &[], r#"{"model":"draft","messages":[]}"#, 400),
        case(
            "message without content",
            "POST",
            CHAT,
            &[],
            r#"{"model":"draft","messages":[{"role":"user"}]}"#,
            400,
        ),
        case("wrong method", "GET", COMPLETIONS, &[], "", 405),
        case("unknown path", "GET", "/v2/models", &[], "", 404),
        case("unknown service", "POST", "/services/none/x", &[], "", 404),
        case("no service", "POST", "/services/", &[], "", 404),
        case("dots in a path", "POST", "/services/counter/quotes/../payments", &[], "", 400),
        case("encoded dots", "POST", "/services/counter/quotes/%2e%2e/payments", &[], "", 400),
        case("encoded separator", "POST", "/services/counter/quotes%2Fpayments", &[], "", 400),
        case("empty key", "POST", PAYMENTS, &[("idempotency-key", " ")], "{}", 400),
        case(
            "two keys",
            "POST",
            PAYMENTS,
            &[("idempotency-key", "a"), ("idempotency-key", "b")],
            "{}",
            400,
        ),
    ]
}

/// Sends bytes to an entry and returns the response as text.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the entry listens");
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(15), reading).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_a_problem_document_with_a_remedy() {
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let entry = estate.caller_addresses[0];
    let caller = Caller::new("dev-key-00");
    for case in invalid_requests() {
        let request = caller.request(case.method, case.path, case.headers, case.body);
        let response = caller.call(entry, request, CALL_TIMEOUT).await.expect(case.description);
        assert_eq!(response.status(), case.status, "{}", case.description);
        assert_eq!(
            response.headers()["content-type"],
            "application/problem+json",
            "{}",
            case.description
        );
        let problem: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
        assert_eq!(problem["ran"], "no", "{}", case.description);
        assert!(
            problem["detail"].as_str().is_some_and(|text| text.len() > 8),
            "{}",
            case.description
        );
    }
    let long_key = "k".repeat(300);
    let response =
        caller.call_service(entry, PAYMENTS, Some(&long_key), "{}").await.expect("a response");
    assert_eq!(response.status(), 400);
    let large_body = "x".repeat((1 << 20) + 1);
    let response =
        caller.call_service(entry, PAYMENTS, None, &large_body).await.expect("a response");
    assert_eq!(response.status(), 413);
    for key in ["", "nobody", "dev-key-0", "dev-key-000"] {
        let response = Caller::new(key).complete(entry, "x", 1, false).await.expect("a response");
        assert_eq!(response.status(), 401, "key '{key}'");
    }
    let other_caller = Caller::new("dev-key-01");
    let response =
        other_caller.call_service(entry, PAYMENTS, None, "{}").await.expect("a response");
    assert_eq!(response.status(), 404, "a service that is not the team's");
    let many_headers: String = (0..80).map(|index| format!("x-{index}: y\r\n")).collect();
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\n{many_headers}\r\n");
    let response =
        send_raw(entry, head.replace("host: x", "host: x\r\nconnection: close").as_bytes()).await;
    assert!(response.contains("431") && response.contains("at most 64 headers"), "{response}");
    let head_of_length = |length: usize| {
        let filler = "y".repeat(length);
        format!("GET /v1/models HTTP/1.1\r\nconnection: close\r\nx: {filler}\r\n\r\n")
    };
    let response = send_raw(entry, head_of_length(20_000).as_bytes()).await;
    assert!(response.contains("431") && response.contains("at most 16384 bytes"), "{response}");
    assert!(
        send_raw(entry, head_of_length(90_000).as_bytes()).await.contains("431"),
        "a head of 90,000 bytes"
    );
    assert!(
        send_raw(entry, b"\x16\x03\x01\x02\x00 nonsense\r\n\r\n").await.contains("400"),
        "bytes that are not HTTP"
    );
    let response = caller.complete(entry, "still there", 2, false).await.expect("a response");
    assert_eq!(response.status(), 200);
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_a_frame_connection_that_does_not_prove_the_secret() {
    use filberttrail_protocol::Link;
    use filberttrail_protocol::link::Identity;
    let estate = Estate::start(Options::default()).await.expect("an estate");
    let sidecar = estate.sidecar_address("engine-00").expect("a sidecar");
    let stranger = Identity {
        name: "stranger".into(),
        incarnation: 1,
        secret: bytes::Bytes::from_static(b"not the secret of the estate"),
    };
    let stream = TcpStream::connect(sidecar).await.expect("the sidecar listens");
    let nonce = bytes::Bytes::from_static(b"a nonce");
    let refused = Link::connect(stream, &stranger, 1, nonce).await.err().expect("an error");
    assert!(refused.to_string().contains("frame connection"), "{refused}");
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], b""] {
        let mut stream = TcpStream::connect(sidecar).await.expect("the sidecar listens");
        let _ = stream.write_all(bytes).await;
    }
    let response = Caller::new("dev-key-00")
        .complete(estate.caller_addresses[0], "still there", 2, false)
        .await;
    assert_eq!(response.expect("a response").status(), 200);
    tokio::task::spawn_blocking(move || estate.stop()).await.expect("the estate stops");
}

#[test]
fn rejects_damaged_frames_without_a_panic() {
    use filberttrail_protocol::{Frame, codec};
    let encoded = codec::encode(&[Frame::Resume(1, 2), Frame::Beat]).expect("frames");
    for cut in 0..encoded.len() {
        assert!(codec::decode(&encoded[..cut]).is_err(), "a frame cut to {cut} bytes was decoded");
    }
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let length = random.usize(0..200);
        let bytes: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
        let _ = codec::decode(&bytes);
    }
    let deeply_nested = vec![0x81; 100_000];
    assert!(codec::decode(&deeply_nested).is_err());
}

/// Runs the program and returns its exit code and standard error.
fn run_program(line: &str) -> (i32, String) {
    let output = std::process::Command::new(PROGRAM).args(line.split_whitespace()).output();
    let output = output.expect("the program runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code().unwrap_or(-1), text)
}

#[test]
fn refuses_invalid_settings_and_names_the_flag() {
    let entry = "entry --name e --data-centre d --platform 127.0.0.1:1 --secret 0123456789abcdef";
    let sidecar = "sidecar --name s --platform 127.0.0.1:1 --secret 0123456789abcdef";
    for (line, expected) in [
        ("entry", "--name"),
        ("entry --name e --data-centre d --platform 127.0.0.1:1 --secret short", "--secret"),
        (
            "entry --name e --data-centre d --platform nowhere --secret 0123456789abcdef",
            "--platform",
        ),
        (&format!("{entry} --listen 127.0.0.1:8080 --admin 127.0.0.1:8080"), "--admin"),
        (&format!("{entry} --body-bytes 0"), "--body-bytes"),
        (&format!("{entry} --body-bytes 99999999"), "--body-bytes"),
        (&format!("{entry} --header-bytes 10"), "--header-bytes"),
        (&format!("{entry} --connections 0"), "--connections"),
        (&format!("{entry} --subset 0"), "--subset"),
        (&format!("{entry} --request-wait 1s --body-wait 2s"), "--request-wait"),
        (&format!("{entry} --request-wait soon"), "--request-wait"),
        (&format!("{entry} --policy best"), "expected-wait"),
        (&format!("{entry} --seeds here"), "--seeds"),
        (&format!("{entry} --colour green"), "--colour"),
        (&format!("{entry} --log-format xml"), "--log-format"),
        (&format!("{sidecar} --listen 127.0.0.1:9 --upstream 127.0.0.1:9"), "--upstream"),
        ("dev --for ever", "--for"),
        ("no such command", "no command"),
    ] {
        let (code, text) = run_program(line);
        assert_eq!(code, 2, "{line}: {text}");
        assert!(text.contains(expected), "{line}: {text}");
    }
}

#[test]
fn reports_an_unavailable_platform_and_a_missing_path_by_exit_code() {
    let service = Process::start(PROGRAM, &["stand-in", "service"], 1);
    let address = service.address("listens").to_string();
    let (code, text) = run_program(&format!("apply samples/estate --platform {address}"));
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("platform"), "{text}");
    let (code, text) = run_program("status --platform 127.0.0.1:1");
    assert_eq!(code, 4, "{text}");
    let (code, text) = run_program("check no/such/folder");
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("check the path"), "{text}");
}
