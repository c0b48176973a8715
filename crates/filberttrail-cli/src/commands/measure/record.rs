//! `bench record`: records the traces that are committed to the repository.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::traces;
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Error, Result};

inventory::submit! {
    Command {
        name: "bench record",
        usage: "FOLDER",
        about: "Records the traces of expert popularity and of requests into a directory",
        flags: &[],
        examples: &[Example {
            line: "bench record target/traces",
            about: "Records traces to compare with the committed ones",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let directory = arguments.positional("FOLDER")?;
    arguments.finish()?;
    let help = "check the path and its permissions";
    let write_error = |error: std::io::Error| Error::system(&directory, error, help);
    std::fs::create_dir_all(&directory).map_err(write_error)?;
    for (name, text) in traces::record_all() {
        std::fs::write(format!("{directory}/{name}.json"), text).map_err(write_error)?;
        println!("{directory}/{name}.json");
    }
    Ok(crate::SUCCESS)
}
