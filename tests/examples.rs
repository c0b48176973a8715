//! Tests of the command line: the examples of every command, the help texts, and concurrent changes
//! by two operators.
//!
//! The examples run as they are written, except that the platform's address `127.0.0.1:7000` and the
//! object store's address `127.0.0.1:7100` are replaced by the addresses of the stand-ins that the test
//! starts.

use filberttrail_cli::command;
use filberttrail_platform_stand_in::Store;
use filberttrail_test_support::process::Process;

// Each call of `Process::start` below waits for 1 line of output. The platform and the other
// stand-ins print `listens http://ADDRESS` when they accept connections, and
// `Process::address("listens")` reads the address from that line.

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");

/// Commands that run until SIGINT or SIGTERM.
const DAEMONS: [&str; 5] =
    ["entry", "sidecar", "stand-in engine", "stand-in platform", "stand-in service"];

/// Runs a command line to its end and returns the exit code, or -1 if a signal ended it.
fn run(line: &str) -> i32 {
    let output = std::process::Command::new(PROGRAM).args(line.split_whitespace()).output();
    output.expect("the program runs").status.code().unwrap_or(-1)
}

/// Starts a daemon, waits for its first line of output and stops it with SIGTERM. Returns the exit
/// code, or -1 if the signal ended it.
fn start_and_stop(line: &str) -> i32 {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let process = Process::start(PROGRAM, &arguments, 1);
    process.stop().and_then(|status| status.code()).unwrap_or(-1)
}

#[test]
fn every_example_exits_with_the_expected_code() {
    let platform = Process::start(PROGRAM, &["stand-in", "platform"], 1);
    let address = platform.address("listens").to_string();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let store = runtime.block_on(Store::start());
    let in_force = std::fs::read("samples/configuration-in-force.json").expect("the sample");
    store.write("config", "main", serde_json::from_slice(&in_force).expect("JSON"));
    let store_address = store.address.to_string();
    let mut example_count = 0;
    for command in command::list_all() {
        assert!(!command.examples.is_empty(), "'{}' has no example", command.name);
        for example in command.examples {
            let line = example.line.replace("127.0.0.1:7000", &address);
            let line = line.replace("127.0.0.1:7100", &store_address);
            let code = match command.name {
                name if DAEMONS.contains(&name) => start_and_stop(&line),
                _ => run(&line),
            };
            let is_expected = match command.name {
                // Examples run one at a time, so no entry is running that could have a record of
                // the request.
                "explain" => code == 1,
                // A benchmark that misses its target exits with 1; the example itself works.
                name if name.starts_with("bench ") => code == 0 || code == 1,
                _ => code == 0,
            };
            assert!(is_expected, "'filberttrail {line}' exited with {code}");
            example_count += 1;
        }
    }
    assert!(example_count >= command::list_all().len());
}

#[test]
fn every_command_has_help_with_usage_examples_and_exit_codes() {
    for command in command::list_all() {
        let line = format!("{} --help", command.name);
        let output = std::process::Command::new(PROGRAM).args(line.split(' ')).output();
        let output = output.expect("the program runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{line}");
        for expected in ["Usage: filberttrail", "Examples:", "Exit codes:"] {
            assert!(text.contains(expected), "no '{expected}' in {line}");
        }
    }
}

#[test]
fn refuses_one_of_two_concurrent_preset_changes() {
    let platform = Process::start(PROGRAM, &["stand-in", "platform"], 1);
    let address = platform.address("listens").to_string();
    assert_eq!(run(&format!("apply samples/estate --platform {address}")), 0);
    // The platform delays each request by 400 ms, so that both commands read the manifest before
    // either of them writes.
    set_faults(&address, r#"{"slow-ms":400}"#);
    let commands: Vec<std::process::Child> = ["peak", "maintenance"]
        .iter()
        .map(|preset| {
            let line = format!("preset use {preset} --platform {address}");
            std::process::Command::new(PROGRAM)
                .args(line.split(' '))
                .stdout(std::process::Stdio::null())
                .stderr(std::process::Stdio::null())
                .spawn()
                .expect("the program runs")
        })
        .collect();
    let mut codes: Vec<i32> = commands
        .into_iter()
        .map(|mut child| child.wait().ok().and_then(|status| status.code()).unwrap_or(-1))
        .collect();
    codes.sort_unstable();
    // One command succeeds (0); the other one reports a conflicting change (3).
    assert_eq!(codes, [0, 3]);
    set_faults(&address, "{}");
    let output = std::process::Command::new(PROGRAM)
        .args(["status", "--json", "--platform", &address])
        .output()
        .expect("the program runs");
    let status: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    // `apply` created generation 1, and the one accepted change generation 2.
    assert_eq!(status["in-force"]["generation"], 2);
}

/// Sets the faults that the stand-in platform simulates.
fn set_faults(address: &str, faults: &str) {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).expect("the platform listens");
    let length = faults.len();
    let head = format!(
        "PUT /control/faults HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{faults}").as_bytes()).expect("a request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 204"), "{response}");
}
