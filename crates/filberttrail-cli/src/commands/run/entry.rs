//! `entry`: runs an entry.

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
        about: "Runs an entry: callers' HTTP in, frames to sidecars out",
        flags: &[
            "--name NAME           the entry's name",
            "--data-centre NAME    the data centre that it stands in",
            "--listen ADDRESS      where callers connect (127.0.0.1:8080)",
            "--admin ADDRESS       where operators look (127.0.0.1:8081)",
            "--platform ADDRESS    the platform's IP number and port",
            "--secret SECRET       what entries and sidecars share; better set FILBERTTRAIL_SECRET",
            "--seeds ADDRESSES     sidecars to learn the configuration from in an outage",
            "--subset N            upstreams of each model and service to connect to (16)",
            "--policy NAME         the routing policy (expected-wait)",
            "--connections N       callers' connections (4096)",
            "--header-bytes N      bytes of a request's head (16384)",
            "--headers N           headers of a request (64)",
            "--header-wait TIME    how long a head may take (10s)",
            "--body-bytes N        bytes of a request's body (1048576)",
            "--body-wait TIME      how long a body may take (10s)",
            "--request-wait TIME   how long a caller waits for an answer's head (30s)",
            "--slow-wait TIME      how long a caller may read nothing of its answer (10s)",
            "--leave-notice TIME   how long it is not ready before it closes its port (2s)",
            "--log-level LEVEL     error, warn, info, debug or off (info)",
            "--log-format FORMAT   text or json (text)",
        ],
        examples: &[Example {
            line: "entry --name entry-1 --data-centre north --listen 127.0.0.1:0 \
                   --admin 127.0.0.1:0 --platform 127.0.0.1:7000 --secret 0123456789abcdef",
            about: "Runs an entry until it is asked to stop",
        }],
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    logging::start(arguments)?;
    let settings = read_settings(arguments)?;
    arguments.finish()?;
    settings.check()?;
    runtime::Daemon::new()?.run(|threads, stop| async move {
        let entry = Entry::bind(settings, threads).await?;
        if let Some((callers, admin)) = entry.addresses() {
            runtime::announce(&format!("callers http://{callers}\nadmin http://{admin}"));
        }
        entry.run(stop).await
    })?;
    Ok(crate::DONE)
}

fn read_settings(arguments: &mut Arguments) -> Result<Settings> {
    let defaults = Limits::default();
    let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Ok(Settings {
        name: arguments.required("--name")?,
        data_centre: arguments.required("--data-centre")?,
        listen: arguments.or("--listen", local(8080))?,
        admin: arguments.or("--admin", local(8081))?,
        platform: arguments.required("--platform")?,
        secret: Bytes::from(arguments.required::<String>("--secret")?),
        seeds: read_seeds(arguments)?,
        subset: arguments.or("--subset", 16)?,
        policy: arguments.or("--policy", "expected-wait".to_string())?,
        limits: Limits {
            connections: arguments.or("--connections", defaults.connections)?,
            header_bytes: arguments.or("--header-bytes", defaults.header_bytes)?,
            headers: arguments.or("--headers", defaults.headers)?,
            header_wait: arguments.duration_or("--header-wait", defaults.header_wait)?,
            slow_wait: arguments.duration_or("--slow-wait", defaults.slow_wait)?,
        },
        body_bytes: arguments.or("--body-bytes", 1 << 20)?,
        body_wait: arguments.duration_or("--body-wait", Duration::from_secs(10))?,
        request_wait: arguments.duration_or("--request-wait", Duration::from_secs(30))?,
        leave_notice: arguments.duration_or("--leave-notice", Duration::from_secs(2))?,
        disabled: Disabled::new(),
    })
}

fn read_seeds(arguments: &mut Arguments) -> Result<Vec<SocketAddr>> {
    let Some(text) = arguments.optional::<String>("--seeds")? else { return Ok(Vec::new()) };
    let parsed: std::result::Result<Vec<SocketAddr>, _> = text.split(',').map(str::parse).collect();
    let help = "give IP numbers and ports, parted by commas";
    parsed.map_err(|fault| Error::setting("--seeds", fault, help).into())
}
