//! `check`: validates declarations without a connection to the platform.

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
        about: "Checks declarations offline; prints the location and remedy of each error",
        flags: &["--json   print the errors as a JSON list"],
        examples: &[
            Example { line: "check samples/estate", about: "Checks every file of a directory" },
            Example { line: "check samples/estate --json", about: "Prints errors as JSON" },
        ],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let path = arguments.positional("PATH")?;
    arguments.finish()?;
    if !json {
        let declarations = super::source::read(&path)?;
        let upstreams = declarations.estate.upstreams.len();
        println!("no errors: {upstreams} upstreams, {} teams", declarations.teams.len());
        return Ok(crate::SUCCESS);
    }
    let outcome = load::read_path(Path::new(&path)).and_then(|sources| load::parse(&sources));
    let errors = outcome.err().unwrap_or_default();
    let list: Vec<serde_json::Value> = errors
        .iter()
        .map(|error| {
            let detail = error.detail();
            serde_json::json!({
                "place": detail.subject, "fault": detail.message, "remedy": detail.help,
            })
        })
        .collect();
    println!("{}", serde_json::Value::from(list));
    Ok(if errors.is_empty() { crate::SUCCESS } else { crate::FAILURE })
}
