//! Reads declarations for a command.

use filberttrail_declare::load;
use filberttrail_declare::model::Declarations;
use filberttrail_kernel::{Error, Result};
use std::path::Path;

/// Reads declarations; every fault goes to standard error, with its place and remedy.
pub fn read(path: &str) -> Result<Declarations> {
    let outcome = load::read_path(Path::new(path)).and_then(|sources| load::parse(&sources));
    outcome.map_err(|faults| {
        for fault in &faults {
            let detail = fault.detail();
            eprintln!("{}: {}\n  help: {}", detail.subject, detail.message, detail.help);
        }
        let fault = format!("{} faults", faults.len());
        Error::declaration(path, fault, "mend each of the faults listed above").into()
    })
}
