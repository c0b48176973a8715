//! `data-centre out` and `data-centre in`: takes a data centre out of service and returns it.

use super::change;
use crate::command::{Command, Example};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Command {
        name: "data-centre out",
        usage: "NAME --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Takes a data centre out of service: it gets no new work after a few seconds",
        flags: &change::FLAGS,
        examples: &[Example {
            line: "data-centre out harbour --platform 127.0.0.1:7000",
            about: "Takes one data centre out of service",
        }],
        exit_codes: None,
        run: |arguments| {
            change::run(arguments, "NAME", |operation, name| {
                operation.data_centres_out.insert(name);
            })
        },
    }
}

inventory::submit! {
    Command {
        name: "data-centre in",
        usage: "NAME --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Returns a data centre to service: it gets new work up to its capacity",
        flags: &change::FLAGS,
        examples: &[Example {
            line: "data-centre in harbour --platform 127.0.0.1:7000",
            about: "Returns one data centre to service",
        }],
        exit_codes: None,
        run: |arguments| {
            change::run(arguments, "NAME", |operation, name| {
                operation.data_centres_out.remove(&name);
            })
        },
    }
}
