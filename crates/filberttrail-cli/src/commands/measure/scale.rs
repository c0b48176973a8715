//! `bench scale`: simulates how a change spreads through a large estate.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::scale;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench scale",
        usage: "[--seed N] [--json] [--svg FILE]",
        about: "Compares the traffic of ways to spread a change to 340 entries and 1,500 \
                sidecars; exit code 1 if the target is missed",
        flags: &[
            "--seed N   the seed (1)",
            "--json     print JSON",
            "--svg FILE draw the result as SVG",
        ],
        examples: &[Example { line: "bench scale --json", about: "Prints all results as JSON" }],
        exit_codes: None,
        run: |arguments: &mut Arguments| -> Result<u8> {
            let seed = arguments.value_or("--seed", 1)?;
            let json = arguments.flag("--json");
            let svg = arguments.optional::<String>("--svg")?;
            arguments.finish()?;
            let outcome = scale::compare(seed)?;
            svg.map_or(Ok(()), |file| outcome.draw(&file))?;
            Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
        },
    }
}
