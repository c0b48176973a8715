//! `sidecar`: runs a sidecar, which forwards requests from entries to one engine or service.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use bytes::Bytes;
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Disabled, Result};
use filberttrail_sidecar::{Settings, Sidecar};
use std::net::SocketAddr;
use std::time::Duration;

inventory::submit! {
    Command {
        name: "sidecar",
        usage: "--name NAME --listen ADDRESS --upstream ADDRESS --platform ADDRESS \
                --secret SECRET [FLAGS]",
        about: "Runs a sidecar: the only access for entries to the engine or service beside it",
        flags: &[
            "--name NAME          the declared name of its upstream",
            "--listen ADDRESS     the address for entries, as declared",
            "--admin ADDRESS      the address of the admin interface (127.0.0.1:8082)",
            "--upstream ADDRESS   the address of the engine or service",
            "--platform ADDRESS   the platform's IP address and port",
            "--secret SECRET      secret of entries and sidecars; better set FILBERTTRAIL_SECRET",
            "--connections N      maximum number of connections from entries (1024)",
            "--memory-mb N        memory of the machine for this process, in megabytes (1024)",
            "--head-wait TIME     timeout for a response head (30s)",
            "--pause-wait TIME    how long a stream may pause (10s)",
            "--drain-wait TIME    how long a shutdown waits for open responses (10m)",
            "--log-level LEVEL    error, warn, info, debug or off (info)",
            "--log-format FORMAT  text or json (text)",
        ],
        examples: &[Example {
            line: "sidecar --name engine-00 --listen 127.0.0.1:0 --admin 127.0.0.1:0 \
                   --upstream 127.0.0.1:7100 --platform 127.0.0.1:7000 --secret 0123456789abcdef",
            about: "Runs a sidecar until SIGINT or SIGTERM",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    logging::init(arguments)?;
    let settings = Settings {
        name: arguments.required("--name")?,
        listen: arguments.required("--listen")?,
        admin: arguments.value_or("--admin", SocketAddr::from(([127, 0, 0, 1], 8082)))?,
        upstream: arguments.required("--upstream")?,
        platform: arguments.required("--platform")?,
        secret: Bytes::from(arguments.required::<String>("--secret")?),
        head_wait: arguments.duration_or("--head-wait", Duration::from_secs(30))?,
        pause_wait: arguments.duration_or("--pause-wait", Duration::from_secs(10))?,
        drain_wait: arguments.duration_or("--drain-wait", Duration::from_secs(600))?,
        connections: arguments.value_or("--connections", 1_024)?,
        memory_bytes: arguments.value_or("--memory-mb", 1_024_usize)?.saturating_mul(1_000_000),
        disabled: Disabled::new(),
    };
    arguments.finish()?;
    settings.check()?;
    runtime::Runtimes::new()?.run(|runtimes, stop| async move {
        let sidecar = Sidecar::bind(settings, runtimes).await?;
        if let Some(admin) = sidecar.admin_address() {
            runtime::announce(&format!("admin http://{admin}"));
        }
        sidecar.run(stop).await;
        Ok(())
    })?;
    Ok(crate::SUCCESS)
}
