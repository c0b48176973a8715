//! `bench control`: measures what coordinating a lock-step group costs at several sizes.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::control;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench control",
        usage: "[--seed N] [--json]",
        about: "Measures the messages and decisions of a group's coordinator at 8 to 256 ranks; \
                exit code 1 if a target is missed",
        flags: &["--seed N      the seed of the popularity (1)", "--json        print JSON"],
        examples: &[Example { line: "bench control --json", about: "Measures all sizes" }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let seed = arguments.value_or("--seed", 1)?;
    let json = arguments.flag("--json");
    arguments.finish()?;
    let outcome = control::measure(seed)?;
    Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
}
