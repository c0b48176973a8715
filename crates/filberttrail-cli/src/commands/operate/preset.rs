//! `preset use`: selects the preset in force.

use super::change;
use crate::command::{Command, Example};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "preset use",
        usage: "NAME --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Selects the preset in force, in place of the current one",
        flags: &change::FLAGS,
        examples: &[Example {
            line: "preset use peak --platform 127.0.0.1:7000",
            about: "Selects the preset for peak load",
        }],
        exit_codes: None,
        run: |arguments| change::run(arguments, "NAME", |operation, name| operation.preset = name),
    }
}
