//! `bench limits`: simulates a team that sends too much beside one that does not.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::limits;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench limits",
        usage: "[--seed N] [--json] [--svg FILE]",
        about: "Simulates a loud team beside a quiet one, with a share for each team and with \
                one common queue; exit code 1 if the target is missed",
        flags: &[
            "--seed N   the seed (1)",
            "--json     print JSON",
            "--svg FILE draw the result as SVG",
        ],
        examples: &[Example { line: "bench limits --json", about: "Prints all results as JSON" }],
        exit_codes: None,
        run: |arguments: &mut Arguments| -> Result<u8> {
            let seed = arguments.value_or("--seed", 1)?;
            let json = arguments.flag("--json");
            let svg = arguments.optional::<String>("--svg")?;
            arguments.finish()?;
            let outcome = limits::compare(seed)?;
            svg.map_or(Ok(()), |file| outcome.draw(&file))?;
            Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
        },
    }
}
