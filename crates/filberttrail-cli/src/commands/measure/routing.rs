//! `bench routing`: compares the routing policies by time to first token and prefix cache hits.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::{routing, traces};
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench routing",
        usage: "[--seed N] [--json] [--svg FILE]",
        about: "Replays requests through every routing policy; exit code 1 if the target is missed",
        flags: &[
            "--seed N   the seed of two more traces (1)",
            "--json     print JSON",
            "--svg FILE draw the result as SVG",
        ],
        examples: &[Example { line: "bench routing --json", about: "Compares the policies" }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let seed = arguments.value_or("--seed", 1)?;
    let json = arguments.flag("--json");
    let svg = arguments.optional::<String>("--svg")?;
    arguments.finish()?;
    let outcome = routing::compare(seed, &traces::requests()?)?;
    svg.map_or(Ok(()), |file| outcome.draw(&file))?;
    Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
}
