//! `apply`: applies declarations to the estate.

use super::{diff, source};
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::commands::inspect::rollout;
use crate::runtime;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;
use std::time::Duration;

inventory::submit! {
    Command {
        name: "apply",
        usage: "PATH --platform ADDRESS [--wait] [--wait-for TIME] [--json]",
        about: "Applies declarations; refused if another operator's change came first",
        flags: &[
            "--platform ADDRESS   the platform's IP address and port",
            "--wait               wait until every entry and sidecar applies it, and show progress",
            "--wait-for TIME      how long to wait (19s)",
            "--json               print JSON",
        ],
        examples: &[
            Example {
                line: "apply samples/estate --platform 127.0.0.1:7000",
                about: "Applies the declarations in a directory and prints the changes",
            },
            Example {
                line: "apply samples/estate --platform 127.0.0.1:7000",
                about: "Changes nothing when it is run again",
            },
        ],
        exit_codes: None,
        run,
    }
}

/// The default of `--wait-for`: how long a change may take until all entries and sidecars apply it.
pub const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(19);

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let wait = arguments.flag("--wait");
    let wait_for = arguments.duration_or("--wait-for", ROLLOUT_TIMEOUT)?;
    let address: SocketAddr = arguments.required("--platform")?;
    let path = arguments.positional("PATH")?;
    arguments.finish()?;
    let declarations = source::read(&path)?;
    runtime::block_on(async {
        let platform = Platform::new(address);
        let changes = diff::compare(&platform, &declarations).await?;
        let change_id = new_change_id();
        let (manifest, changed) = configuration::apply(&platform, &declarations, change_id).await?;
        diff::print(&changes, json);
        rollout::report(&platform, &manifest, changed, wait.then_some(wait_for), json).await
    })
}

/// Returns a random identifier for a change: 32 hexadecimal digits. If the response to the write is
/// lost, the command recognizes its own change by it.
pub fn new_change_id() -> String {
    format!("{:032x}", fastrand::u128(..))
}
