//! `upstream out` and `upstream in`: takes an upstream out of service and returns it.

use super::change;
use crate::command::{Command, Example};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "upstream out",
        usage: "NAME --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Takes an upstream out of service: it gets no new work after a few seconds",
        flags: &change::FLAGS,
        examples: &[Example {
            line: "upstream out engine-03 --platform 127.0.0.1:7000",
            about: "Takes one upstream out of service",
        }],
        exit_codes: None,
        run: |arguments| {
            change::run(arguments, "NAME", |operation, name| {
                operation.upstreams_out.insert(name);
            })
        },
    }
}

inventory::submit! {
    Command {
        name: "upstream in",
        usage: "NAME --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Returns an upstream to service: it gets new work up to its capacity",
        flags: &change::FLAGS,
        examples: &[Example {
            line: "upstream in engine-03 --platform 127.0.0.1:7000",
            about: "Returns one upstream to service",
        }],
        exit_codes: None,
        run: |arguments| {
            change::run(arguments, "NAME", |operation, name| {
                operation.upstreams_out.remove(&name);
            })
        },
    }
}
