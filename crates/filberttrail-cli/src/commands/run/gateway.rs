//! `gateway`: runs a gateway, which sends requests directly to upstreams, without sidecars.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{runtime, settings};
use filberttrail_gateway::Gateway;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_platform::settings::{decode_gateway, interface};
use std::net::SocketAddr;

inventory::submit! {
    Command {
        name: "gateway",
        usage: "[--settings PATH] [--metrics-port PORT] [--check]",
        about: "Runs a gateway, which sends requests directly to upstreams",
        flags: &[
            "--settings PATH       the settings file (the one that FILBERTTRAIL_SETTINGS names)",
            "--metrics-port PORT   the port that serves metrics (nowhere)",
            "--check               check the settings and exit",
        ],
        examples: &[Example {
            line: "gateway --settings samples/gateway.json --check",
            about: "Checks a settings file",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let metrics_port = arguments.optional::<u16>("--metrics-port")?;
    let Some((settings, reload_settings)) = settings::load(arguments, decode_gateway)? else {
        return Ok(crate::SUCCESS);
    };
    let metrics_address = metrics_port.map(|port| SocketAddr::new(settings.listen.ip(), port));
    let gateway = Gateway::new(settings, interface(), metrics_address)?;
    runtime::block_on(async move {
        let signals = (runtime::watch_stop_signals()?, runtime::watch_reload_signals()?);
        gateway.run(signals.0, signals.1, reload_settings).await
    })?;
    Ok(crate::SUCCESS)
}
