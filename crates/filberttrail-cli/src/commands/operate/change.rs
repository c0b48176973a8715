//! Changes the operation in force: the preset, and the data centres and upstreams that are out.

use crate::arguments::Arguments;
use crate::commands::estate::apply::{ROLLOUT_TIMEOUT, new_change_id};
use crate::commands::inspect::rollout;
use crate::runtime;
use filberttrail_declare::Operation;
use filberttrail_kernel::Result;
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;

/// The lines of help for the flags that every command of this group accepts.
pub const FLAGS: [&str; 4] = [
    "--platform ADDRESS   the platform's IP address and port",
    "--wait               wait until every entry and sidecar applies the change",
    "--wait-for TIME      how long to wait (19s)",
    "--json               print JSON",
];

/// Parses the flags and one positional argument, which errors call `what`, applies `edit` to the
/// operation in force and reports the result.
///
/// # Errors
///
/// [`Error::Conflict`](filberttrail_kernel::Error::Conflict) if another operator's change came
/// first.
pub fn run(
    arguments: &mut Arguments,
    what: &'static str,
    edit: impl FnOnce(&mut Operation, String),
) -> Result<u8> {
    let json = arguments.flag("--json");
    let wait = arguments.flag("--wait");
    let wait_for = arguments.duration_or("--wait-for", ROLLOUT_TIMEOUT)?;
    let address: SocketAddr = arguments.required("--platform")?;
    let name = arguments.positional(what)?;
    arguments.finish()?;
    runtime::block_on(async {
        let platform = Platform::new(address);
        let edit = |operation: &mut Operation| edit(operation, name);
        let (manifest, changed) =
            configuration::change_operation(&platform, new_change_id(), edit).await?;
        if json {
            println!("{}", serde_json::json!({ "changed": changed, "in-force": manifest }));
        }
        rollout::report(&platform, &manifest, changed, wait.then_some(wait_for), json).await
    })
}
