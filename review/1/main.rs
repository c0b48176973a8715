//! One entry of an engine in the store has bytes that can't be read. After the final fault no gateway becomes
//! ready any more.

#[path = "../common/mod.rs"]
mod common;

use common::deployment::{Deployment, RECOVERY, sleep_until};
use common::store::Store;
use common::system::{Processes, Record};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time of calm traffic before the entry is written, and from then to the final fault.
const CALM: Duration = Duration::from_secs(6);
const BEFORE_FAULT: Duration = Duration::from_secs(4);
/// Heartbeat interval of the deployments.
const BEAT: Duration = Duration::from_millis(1_200);
/// Time until the processes start again.
const DOWN: Duration = Duration::from_millis(900);
/// Time over which the requests after the recovery are sent.
const JUDGED: Duration = Duration::from_secs(10);

/// Returns an entry from another writer. All are valid JSON by the grammar of RFC 8259.
fn entry(kind: &str, sequence: u64) -> String {
    let field = match kind {
        // A string that is no text: half of a surrogate pair.
        "bytes" => r#""zone":"\ud83d""#.to_string(),
        // Fields of another type: a number beyond the range of doubles, and lists in lists.
        "number" => r#""slots":1e400"#.to_string(),
        "lists" => format!(r#""zone":{}{}"#, "[".repeat(150), "]".repeat(150)),
        // For comparison: a field of another type that is skipped as it should be.
        "type" => r#""zone":17"#.to_string(),
        other => panic!("ENTRY={other}: choose bytes, number, lists or type"),
    };
    format!(
        r#"{{"service":"control","address":"127.0.0.1:9","state":"ready","version":"v1","sequence":{sequence},{field}}}"#
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let kind = std::env::var("ENTRY").unwrap_or_else(|_| "bytes".to_string());
    let record = Arc::new(Record::create(&folder));
    let store = Store::start();
    let processes = Arc::new(Processes::default());
    let deployment =
        Deployment::new("1", record.clone(), store.clone(), processes.clone(), Box::new(|_, _| {}));
    deployment.start_all(true);
    deployment.wait_until_ready();
    let calm_from = Instant::now();
    deployment.start_clients();
    thread::sleep(CALM);
    if trouble {
        record.say(format!(
            "servers/x-other is written from now on ({kind}): {}",
            entry(&kind, 1).chars().take(160).collect::<String>()
        ));
        // Like an engine, the other writer writes its entry at each heartbeat, so that it does not lapse.
        let (store, kind) = (store.clone(), kind.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                store.put("servers", "x-other", &entry(&kind, sequence));
                thread::sleep(BEAT);
            }
        });
    }
    thread::sleep(BEFORE_FAULT);
    let struck_at = Instant::now();
    record.say(format!("final fault: all {} processes are killed", processes.kill_all()));
    sleep_until(struck_at + DOWN);
    deployment.start_all(false);
    record.line("the processes start again");
    let back_at = struck_at + DOWN;
    for second in 1..=(RECOVERY + JUDGED).as_secs() {
        sleep_until(back_at + Duration::from_secs(second));
        record.line(format!("readiness of the gateways: {:?}", deployment.readiness()));
    }
    record.say(format!(
        "readiness of the gateways {} s after the start: {:?}",
        (RECOVERY + JUDGED).as_secs(),
        deployment.readiness()
    ));
    deployment.stop_clients();
    deployment.judge_recovery(calm_from, struck_at, back_at, JUDGED);
}
