//! `bench placement`: compares placement strategies by step skew and bytes moved.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use filberttrail_bench::placement::{self, Size};
use filberttrail_bench::traces;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench placement",
        usage: "[--seed N] [--ranks N] [--experts N] [--slots N] [--json] [--svg FILE]",
        about: "Compares placement with few moves, with no moves and with a full repack; exit \
                code 1 if the target is missed",
        flags: &[
            "--seed N      the seed of one more trace (1)",
            "--ranks N     ranks of the group (256)",
            "--experts N   experts per layer (128); the recorded traces have 128",
            "--slots N     expert slots per rank (2)",
            "--json        print JSON",
            "--svg FILE    draw the result as SVG",
        ],
        examples: &[Example {
            line: "bench placement --ranks 16 --experts 16 --json",
            about: "Compares a small group",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let seed = arguments.value_or("--seed", 1)?;
    let size = Size {
        ranks: arguments.value_or("--ranks", 256)?,
        experts: arguments.value_or("--experts", 128)?,
        slots: arguments.value_or("--slots", 2)?,
    };
    let json = arguments.flag("--json");
    let svg = arguments.optional::<String>("--svg")?;
    arguments.finish()?;
    placement::check_size(size)?;
    let outcome = placement::compare(seed, size, &traces::popularity()?)?;
    svg.map_or(Ok(()), |file| outcome.draw(&file))?;
    Ok(outcome::print(&outcome, &outcome.rows, outcome.met, json))
}
