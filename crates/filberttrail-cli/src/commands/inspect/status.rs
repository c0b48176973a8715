//! `status`: shows the configuration in force and which processes apply it.

use super::rollout;
use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_store::{Platform, status};
use std::net::SocketAddr;

inventory::submit! {
    Command {
        name: "status",
        usage: "--platform ADDRESS [--json]",
        about: "Shows what is in force, and the generation that each entry and sidecar applies",
        flags: &["--platform ADDRESS   the platform's IP address and port", "--json   print JSON"],
        examples: &[Example {
            line: "status --platform 127.0.0.1:7000",
            about: "Shows the status of an estate",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let address: SocketAddr = arguments.required("--platform")?;
    arguments.finish()?;
    runtime::block_on(async {
        let platform = Platform::new(address);
        let manifest = rollout::read_in_force(&platform).await?;
        let entries = status::read_all(&platform).await?;
        if json {
            println!("{}", serde_json::json!({ "in-force": manifest, "entries": entries }));
            return Ok(crate::SUCCESS);
        }
        let Some(manifest) = manifest else {
            println!("nothing is in force: apply declarations first");
            return Ok(crate::FAILURE);
        };
        let operation = &manifest.operation;
        println!("generation {}, preset {}", manifest.generation, operation.preset);
        println!("data centres out: {}", format_names(&operation.data_centres_out));
        println!("upstreams out: {}", format_names(&operation.upstreams_out));
        for entry in entries {
            let behind: Vec<&String> = entry
                .upstreams
                .iter()
                .filter(|(_, applied)| **applied < manifest.generation)
                .map(|(name, _)| name)
                .collect();
            println!(
                "{} in {}: generation {}, {} sidecars, behind: {behind:?}",
                entry.node,
                entry.data_centre,
                entry.generation,
                entry.upstreams.len()
            );
        }
        Ok(crate::SUCCESS)
    })
}

fn format_names(names: &std::collections::BTreeSet<String>) -> String {
    if names.is_empty() {
        return "none".into();
    }
    names.iter().cloned().collect::<Vec<_>>().join(", ")
}
