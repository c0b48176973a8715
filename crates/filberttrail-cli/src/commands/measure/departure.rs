//! `bench departure`: see its help.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::departure;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench departure",
        usage: "[--seed N] [--json] [--svg FILE]",
        about: "Plays a data centre that leaves and returns cold, with and without the ramp; exit code 1 if the target is missed",
        flags: &["--seed N   the seed (1)", "--json     for a script", "--svg FILE draw it"],
        examples: &[Example { line: "bench departure --json", about: "Prints all for a script" }],
        run: |arguments: &mut Arguments| -> Result<u8> {
            let seed = arguments.or("--seed", 1)?;
            let json = arguments.flag("--json");
            let svg = arguments.optional::<String>("--svg")?;
            arguments.finish()?;
            let outcome = departure::compare(seed)?;
            svg.map_or(Ok(()), |file| outcome.draw(&file))?;
            Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
        },
    }
}
