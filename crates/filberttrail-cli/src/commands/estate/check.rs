//! `check`: finds faults in declarations without asking anybody.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_declare::load;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use std::path::Path;

inventory::submit! {
    Command {
        name: "check",
        usage: "PATH [--json]",
        about: "Checks declarations offline; each fault comes with its place and remedy",
        flags: &["--json   print the faults as a JSON list"],
        examples: &[
            Example { line: "check samples/estate", about: "Checks every file of a folder" },
            Example { line: "check samples/estate --json", about: "Prints faults for a script" },
        ],
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let path = arguments.word("PATH")?;
    arguments.finish()?;
    if !json {
        let declarations = super::source::read(&path)?;
        let upstreams = declarations.estate.upstreams.len();
        println!("no faults: {upstreams} upstreams, {} teams", declarations.teams.len());
        return Ok(crate::DONE);
    }
    let outcome = load::read_path(Path::new(&path)).and_then(|sources| load::parse(&sources));
    let faults = outcome.err().unwrap_or_default();
    let list: Vec<serde_json::Value> = faults
        .iter()
        .map(|fault| {
            let detail = fault.detail();
            serde_json::json!({
                "place": detail.subject, "fault": detail.message, "remedy": detail.help,
            })
        })
        .collect();
    println!("{}", serde_json::Value::from(list));
    Ok(if faults.is_empty() { crate::DONE } else { crate::FAULT })
}
