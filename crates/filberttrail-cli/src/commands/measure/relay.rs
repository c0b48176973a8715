//! `bench relay`: measures the cost of relaying a streamed token.

use super::outcome;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_bench::relay;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "bench relay",
        usage: "[--json]",
        about: "Measures a streamed token's processor time and the added time to first token, as \
                ratios to a bare pass-through; exit code 1 if the target is missed",
        flags: &["--json   print JSON"],
        examples: &[Example {
            line: "bench relay --json",
            about: "Prints both measurements as JSON",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    arguments.finish()?;
    let outcome = runtime::block_on(relay::run())?;
    Ok(outcome::print(&outcome, std::slice::from_ref(&outcome), outcome.met, json))
}
