//! The `entry` command: runs the process that accepts HTTP requests from callers and forwards them
//! to the sidecars of upstreams.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use bytes::Bytes;
use filberttrail_entry::{Entry, Settings};
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Disabled, Error, Result};
use filberttrail_web::Limits;
use std::net::SocketAddr;
use std::time::Duration;

inventory::submit! {
    Command {
        name: "entry",
        usage: "--name NAME --data-centre NAME --platform ADDRESS --secret SECRET [FLAGS]",
        about: "Runs an entry: accepts HTTP from callers and forwards it to sidecars as frames",
        flags: &[
            "--name NAME           the entry's name",
            "--data-centre NAME    the data centre that the entry runs in",
            "--listen ADDRESS      the address for callers (127.0.0.1:8080)",
            "--admin ADDRESS       the address of the admin interface (127.0.0.1:8081)",
            "--platform ADDRESS    IP address and port of the platform's object API",
            "--secret SECRET       shared with sidecars; FILBERTTRAIL_SECRET hides it from ps",
            "--seeds ADDRESSES     sidecars to get the configuration from in a platform outage",
            "--subset N            maximum upstreams to connect to per model and service (16)",
            "--policy NAME         the routing policy (expected-wait)",
            "--connections N       maximum number of connections from callers (4096)",
            "--header-bytes N      maximum size of a request head, in bytes (16384)",
            "--headers N           maximum number of headers in a request (64)",
            "--header-wait TIME    timeout for receiving a request head (10s)",
            "--body-bytes N        maximum size of a request body, in bytes (1048576)",
            "--memory-mb N         memory of the machine for this process, in megabytes (1024)",
            "--body-wait TIME      timeout for receiving a request body (10s)",
            "--request-wait TIME   how long a caller waits for a response head (30s)",
            "--slow-wait TIME      how long a caller may read nothing of its response (10s)",
            "--leave-notice TIME   time between reporting not ready and closing the port (2s)",
            "--log-level LEVEL     error, warn, info, debug or off (info)",
            "--log-format FORMAT   text or json (text)",
        ],
        examples: &[Example {
            line: "entry --name entry-1 --data-centre north --listen 127.0.0.1:0 \
                   --admin 127.0.0.1:0 --platform 127.0.0.1:7000 --secret 0123456789abcdef",
            about: "Runs an entry until SIGINT or SIGTERM",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    logging::init(arguments)?;
    let settings = read_settings(arguments)?;
    arguments.finish()?;
    settings.check()?;
    runtime::Runtimes::new()?.run(|runtimes, stop| async move {
        let entry = Entry::bind(settings, runtimes).await?;
        if let Some((callers, admin)) = entry.addresses() {
            runtime::announce(&format!("callers http://{callers}\nadmin http://{admin}"));
        }
        entry.run(stop).await
    })?;
    Ok(crate::SUCCESS)
}

fn read_settings(arguments: &mut Arguments) -> Result<Settings> {
    let defaults = Limits::default();
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Ok(Settings {
        name: arguments.required("--name")?,
        data_centre: arguments.required("--data-centre")?,
        listen: arguments.value_or("--listen", loopback(8080))?,
        admin: arguments.value_or("--admin", loopback(8081))?,
        platform: arguments.required("--platform")?,
        secret: Bytes::from(arguments.required::<String>("--secret")?),
        seeds: read_seeds(arguments)?,
        subset: arguments.value_or("--subset", 16)?,
        policy: arguments.value_or("--policy", "expected-wait".to_string())?,
        limits: Limits {
            connections: arguments.value_or("--connections", defaults.connections)?,
            header_bytes: arguments.value_or("--header-bytes", defaults.header_bytes)?,
            headers: arguments.value_or("--headers", defaults.headers)?,
            header_wait: arguments.duration_or("--header-wait", defaults.header_wait)?,
            slow_wait: arguments.duration_or("--slow-wait", defaults.slow_wait)?,
            ..defaults
        },
        body_bytes: arguments.value_or("--body-bytes", 1 << 20)?,
        memory_bytes: arguments.value_or("--memory-mb", 1_024_usize)?.saturating_mul(1_000_000),
        body_wait: arguments.duration_or("--body-wait", Duration::from_secs(10))?,
        request_wait: arguments.duration_or("--request-wait", Duration::from_secs(30))?,
        leave_notice: arguments.duration_or("--leave-notice", Duration::from_secs(2))?,
        disabled: Disabled::new(),
    })
}

fn read_seeds(arguments: &mut Arguments) -> Result<Vec<SocketAddr>> {
    let Some(text) = arguments.optional::<String>("--seeds")? else { return Ok(Vec::new()) };
    let parsed: std::result::Result<Vec<SocketAddr>, _> = text.split(',').map(str::parse).collect();
    let help = "give IP addresses and ports, separated by commas";
    parsed.map_err(|error| Error::setting("--seeds", error, help).into())
}
