//! `bench capacity`: measures the costs per unit of size that docs/CAPACITY.md is based on.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_bench::capacity;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench capacity",
        usage: "[--json]",
        about: "Measures state, messages and processor time at three sizes each",
        flags: &["--json   print JSON"],
        examples: &[Example { line: "bench capacity --json", about: "Prints all results as JSON" }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    arguments.finish()?;
    let outcome = runtime::block_on(capacity::run())?;
    if json {
        // This benchmark has no target that it could miss.
        return Ok(outcome::print(&outcome, &outcome.rows, true, true));
    }
    for row in &outcome.rows {
        println!("{:<44} {:>8} {:>14.3} {}", row.what, row.size, row.figure, row.unit);
    }
    Ok(crate::SUCCESS)
}
