//! Runs the examples of every command as they are written, except for the platform's port.

use filberttrail_cli::command;
use filberttrail_test_support::process::Process;

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");

/// Commands that run until SIGINT or SIGTERM.
const DAEMONS: [&str; 5] =
    ["entry", "sidecar", "stand-in engine", "stand-in platform", "stand-in service"];

fn run(line: &str) -> i32 {
    let output = std::process::Command::new(PROGRAM).args(line.split_whitespace()).output();
    output.expect("the program runs").status.code().unwrap_or(-1)
}

fn start_and_stop(line: &str) -> i32 {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let process = Process::start(PROGRAM, &arguments, 1);
    process.stop().and_then(|status| status.code()).unwrap_or(-1)
}

#[test]
fn every_example_exits_with_the_expected_code() {
    let platform = Process::start(PROGRAM, &["stand-in", "platform"], 1);
    let address = platform.address("listens").to_string();
    let mut example_count = 0;
    for command in command::list_all() {
        assert!(!command.examples.is_empty(), "'{}' has no example", command.name);
        for example in command.examples {
            let line = example.line.replace("127.0.0.1:7000", &address);
            let code = match command.name {
                name if DAEMONS.contains(&name) => start_and_stop(&line),
                _ => run(&line),
            };
            let is_expected = match command.name {
                // No entry runs in this test, so none has a record of the request.
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
fn every_command_has_help_with_usage_and_examples() {
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
    assert_eq!(codes, [0, 3]);
    set_faults(&address, "{}");
    let output = std::process::Command::new(PROGRAM)
        .args(["status", "--json", "--platform", &address])
        .output()
        .expect("the program runs");
    let status: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
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
