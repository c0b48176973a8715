//! `filberttrail configuration check` as a process: its exit codes, output and failures.

use filberttrail_platform_stand_in::Store;
use filberttrail_platform_stand_in::store::Mode;
use filberttrail_test_support::process::Process;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

const PROGRAM: &str = env!("CARGO_BIN_EXE_filberttrail");
const SAMPLE: &str = "samples/configuration.json";
const IN_FORCE: &str = "samples/configuration-in-force.json";
/// In the keys of the samples.
const KEY_MARK: &str = "sample-key";

struct Outcome {
    code: i32,
    output: String,
    errors: String,
}

fn run(arguments: &[&str]) -> Outcome {
    let output = std::process::Command::new(PROGRAM)
        .args(["configuration", "check"])
        .args(arguments)
        .output()
        .expect("the program runs");
    let outcome = Outcome {
        code: output.status.code().unwrap_or(-1),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    };
    let text = format!("{}{}", outcome.output, outcome.errors);
    assert!(!text.contains(KEY_MARK), "{arguments:?} printed a key: {text}");
    assert!(!text.contains("panicked"), "{arguments:?}: {text}");
    outcome
}

fn read_json(outcome: &Outcome) -> Value {
    serde_json::from_str(&outcome.output).unwrap_or_else(|error| {
        panic!("{error}: {} {}", outcome.output, outcome.errors);
    })
}

fn sample(path: &str) -> Value {
    serde_json::from_slice(&std::fs::read(path).expect("the sample")).expect("JSON")
}

/// A directory for the files of one test, removed at its end.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, bytes).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against exit codes that a script cannot rely on.
#[test]
fn exit_codes_tell_warnings_from_errors() {
    let directory = Directory::new("check-codes");
    let with = |pointer: &str, new: Value| {
        let mut value = sample(SAMPLE);
        *value.pointer_mut(pointer).expect("the field exists") = new;
        directory.write("file.json", value.to_string().as_bytes())
    };
    let outcome = run(&[SAMPLE]);
    assert_eq!(outcome.code, 0, "{}", outcome.output);
    assert_eq!(outcome.output, "version 7: 0 errors, 0 warnings\n");
    let outcome = run(&[&with("/routes/0/targetLatencyMs", json!(9000))]);
    assert_eq!(outcome.code, 1, "{}", outcome.output);
    assert!(outcome.output.contains("warning: routes[0] 'chat': targetLatencyMs 9000"));
    let outcome = run(&[&with("/routes/0/service", json!("none"))]);
    assert_eq!(outcome.code, 2, "{}", outcome.output);
    assert!(outcome.output.contains("error: routes[0] 'chat': no service is called 'none'"));
    assert!(outcome.output.contains("1 errors, 1 warnings"), "{}", outcome.output);
    let outcome = run(&[&directory.write("list.json", b"[1]"), "--json"]);
    assert_eq!((outcome.code, &read_json(&outcome)["errors"]), (2, &json!(1)));
}

/// Guards against a JSON form that leaves out what the text shows.
#[test]
fn json_has_findings_and_changes() {
    let outcome = run(&[SAMPLE, "--against", IN_FORCE, "--json"]);
    assert_eq!(outcome.code, 0, "{}", outcome.output);
    let report = read_json(&outcome);
    assert_eq!((&report["version"], &report["in-force"]), (&json!(7), &json!(6)));
    let places: Vec<&str> = report["changes"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|change| change["place"].as_str())
        .collect();
    assert_eq!(places, ["routes/pay", "services/payments-next", "tenants/north", "tenants/south"]);
    assert_eq!(report["changes"][2]["after"]["apiKeys"], "2 keys, 1 added");
    // The other way round, the version decreases.
    let outcome = run(&[IN_FORCE, "--against", SAMPLE, "--json"]);
    let report = read_json(&outcome);
    assert_eq!((outcome.code, &report["errors"]), (2, &json!(1)));
    let finding = &report["findings"][0];
    assert_eq!((&finding["severity"], &finding["place"]), (&json!("error"), &json!("version")));
    assert!(finding["fault"].is_string() && finding["remedy"].is_string(), "{finding}");
    let outcome = run(&[SAMPLE, "--against", IN_FORCE]);
    assert!(outcome.output.contains("changes from version 6:\nchanged  routes/pay\n"));
}

/// Guards against a failure to check that looks like a result, or a message that does not say what
/// could not be read.
#[test]
fn reports_what_could_not_be_checked_with_exit_code_3() {
    let directory = Directory::new("check-failures");
    let broken = directory.write("broken.json", br#"{"tenants":[{"apiKeys":["sample-key-a",]}]}"#);
    let list = directory.write("list.json", b"[1]");
    let large = directory.write("large.json", &vec![b' '; (8 << 20) + 1]);
    let deep = directory.write("deep.json", "[".repeat(100_000).as_bytes());
    let binary = directory.write("binary.json", &[0xff, 0xfe, 0]);
    for (arguments, expected) in [
        (&[broken.as_str()][..], "not JSON"),
        (&[&deep], "not JSON"),
        (&[&binary], "not JSON"),
        (&[&large], "larger than 8388608 bytes"),
        (&["no/such/file"], "readable file"),
        (&["samples"], "readable file"),
        (&["/dev/zero"], "larger than"),
        (&[SAMPLE, "--against", "no/such/file"], "readable file"),
        (&[SAMPLE, "--against", &list], "not a JSON object"),
        (&[SAMPLE, "--against", &broken], "not JSON"),
        (&[SAMPLE, "--store", "nowhere"], "--store"),
        (&[SAMPLE, "--store", "127.0.0.1:1"], "store's address"),
        (&[SAMPLE, "--store", "127.0.0.1:1", "--against", IN_FORCE], "only one of"),
        (&[], "FILE"),
        (&[SAMPLE, "--colour"], "--colour"),
    ] {
        let outcome = run(arguments);
        assert_eq!(outcome.code, 3, "{arguments:?}: {} {}", outcome.output, outcome.errors);
        assert!(outcome.errors.contains(expected), "{arguments:?}: {}", outcome.errors);
        assert_eq!(outcome.output, "", "{arguments:?}");
        let outcome = run(&[arguments, &["--json"]].concat());
        assert_eq!(outcome.code, 3, "{arguments:?}");
        let failure = &read_json(&outcome)["failure"];
        assert!(failure["fault"].is_string() && failure["remedy"].is_string(), "{failure}");
    }
}

/// Guards against a comparison with something other than the configuration in the store, and against
/// a store that is down being taken for one without a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn compares_with_the_configuration_in_the_store() {
    let store = Store::start().await;
    let address = store.address.to_string();
    let check = |json: bool| {
        let arguments = [SAMPLE, "--store", &address, "--json"];
        run(&arguments[..if json { 4 } else { 3 }])
    };
    let outcome = check(false);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert!(outcome.output.contains("no configuration is in force"), "{}", outcome.output);
    store.write("config", "main", sample(IN_FORCE));
    store.write("config", "other", json!({ "version": 99 }));
    let report = read_json(&check(true));
    assert_eq!((&report["in-force"], &report["errors"]), (&json!(6), &json!(0)));
    assert_eq!(report["changes"].as_array().map(Vec::len), Some(4));
    store.write("config", "main", sample(SAMPLE));
    let outcome = check(true);
    assert_eq!((outcome.code, &read_json(&outcome)["changes"]), (0, &json!([])));
    let mut newer = sample(SAMPLE);
    newer["version"] = json!(8);
    store.write("config", "main", newer);
    assert_eq!(check(false).code, 2);
    store.write("config", "main", json!(["sample-key"]));
    let outcome = check(false);
    assert_eq!(outcome.code, 3, "{}", outcome.output);
    assert!(outcome.errors.contains("not a JSON object"), "{}", outcome.errors);
    for mode in [Mode::Unavailable, Mode::Silent] {
        store.set_mode(mode);
        let outcome = check(false);
        assert_eq!(outcome.code, 3, "{mode:?}: {}", outcome.output);
        assert!(outcome.errors.contains("platform"), "{mode:?}: {}", outcome.errors);
    }
}

/// Guards against another server's 404 being taken for a store without a configuration.
#[test]
fn does_not_take_another_server_for_an_empty_store() {
    let service = Process::start(PROGRAM, &["stand-in", "platform"], 1);
    let address = service.address("listens").to_string();
    let outcome = run(&[SAMPLE, "--store", &address]);
    assert_eq!(outcome.code, 3, "{}", outcome.output);
    assert!(outcome.errors.contains("platform config"), "{}", outcome.errors);
}

/// Guards against a panic when the reader of the output has closed its pipe.
#[test]
fn survives_a_closed_standard_output() {
    use std::io::Read;
    use std::process::{Command, Stdio};
    let mut child = Command::new(PROGRAM)
        .args(["configuration", "check", SAMPLE, "--against", IN_FORCE])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    drop(child.stdout.take());
    let mut errors = String::new();
    let _ = child.stderr.take().map(|mut stderr| stderr.read_to_string(&mut errors));
    let code = child.wait().expect("the program ends").code();
    assert_eq!(code, Some(0), "{errors}");
}
