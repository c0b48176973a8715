//! Stand-ins and checks of the review's scripts: `stand-ins CASE RECORD TROUBLE`, from the repository's
//! root. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod case_crowd;
mod case_late;
mod case_verdict;
mod gateway;
mod http;
mod json;
mod store;

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    prefix: String,
}

impl Record {
    pub fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}{text}\n", self.prefix);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// The same record for one of several deployments.
    pub fn of_deployment(&self, number: usize) -> Arc<Self> {
        Arc::new(Self { prefix: format!("[{number}] "), ..self.clone() })
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = &arguments[..] else { std::process::exit(2) };
    let Ok(file) = File::create(path) else { std::process::exit(2) };
    let file = Arc::new(Mutex::new(file));
    let record = Arc::new(Record { file, started: Instant::now(), prefix: String::new() });
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        std::process::exit(2);
    }
    let trouble = trouble != "0";
    let verdict = match case.as_str() {
        "late" => case_late::run(&record, &folder, trouble),
        "verdict" => case_verdict::run(&record, &folder, trouble),
        "crowd" => case_crowd::run(&record, &folder, trouble),
        _ => None,
    };
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(match verdict {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
