//! Puts another operation in force.

use crate::arguments::Arguments;
use crate::commands::estate::apply::{IN_FORCE_WAIT, new_change};
use crate::commands::inspect::rollout;
use crate::runtime;
use filberttrail_declare::Operation;
use filberttrail_kernel::Result;
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;

/// The flags of every switch, for help texts.
pub const FLAGS: [&str; 4] = [
    "--platform ADDRESS   the platform's IP number and port",
    "--wait               wait until every entry and sidecar applies it",
    "--wait-for TIME      how long to wait (19s)",
    "--json               for a script",
];

/// Reads the name and flags, and makes the change.
pub fn run(
    arguments: &mut Arguments,
    what: &'static str,
    edit: impl FnOnce(&mut Operation, String),
) -> Result<u8> {
    let json = arguments.flag("--json");
    let wait = arguments.flag("--wait");
    let wait_for = arguments.duration_or("--wait-for", IN_FORCE_WAIT)?;
    let address: SocketAddr = arguments.required("--platform")?;
    let name = arguments.word(what)?;
    arguments.finish()?;
    runtime::block_on(async {
        let platform = Platform::new(address);
        let edit = |operation: &mut Operation| edit(operation, name);
        let (manifest, changed) =
            configuration::change_operation(&platform, new_change(), edit).await?;
        if json {
            println!("{}", serde_json::json!({ "changed": changed, "in-force": manifest }));
        }
        rollout::report(&platform, &manifest, changed, wait.then_some(wait_for), json).await
    })
}
