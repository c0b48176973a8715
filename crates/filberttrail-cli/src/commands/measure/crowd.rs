//! `bench crowd`: measures what a crowd of clients with tiny chunks costs an ordinary caller.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_bench::crowd;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench crowd",
        usage: "[--connections N] [--chunks N] [--requests N] [--json]",
        about: "Measures an ordinary request's latency and an entry's processor time, without and \
                with a crowd that sends bodies in chunks of one byte",
        flags: &[
            "--connections N   connections of the crowd (100)",
            "--chunks N        chunks that each of them sends per second (2000)",
            "--requests N      ordinary requests that are measured, without and with it (400)",
            "--json            print JSON",
        ],
        examples: &[Example {
            line: "bench crowd --connections 50 --requests 200",
            about: "Prints both measurements as a table",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let load = crowd::Load {
        connections: arguments.value_or("--connections", 100)?,
        chunks_per_second: arguments.value_or("--chunks", 2_000)?,
        requests: arguments.value_or("--requests", 400)?,
    };
    let json = arguments.flag("--json");
    arguments.finish()?;
    let outcome = runtime::block_on(crowd::run(load))?;
    if json {
        // This benchmark has no target that it could miss.
        return Ok(outcome::print(&outcome, &outcome.rows, true, true));
    }
    outcome::print_table(&outcome.rows);
    Ok(crate::SUCCESS)
}
