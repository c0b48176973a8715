//! `dev`: a whole estate on loopback.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use filberttrail_dev::{Estate, Options, Ready};
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Error, Result};
use std::time::Duration;
use tokio::sync::watch;

inventory::submit! {
    Command {
        name: "dev",
        usage: "[--ready-file FILE] [--for TIME] [--port PORT] [--policy NAME] [--step TIME]",
        about: "Runs a sample estate on loopback: stand-ins, sidecars and entries",
        flags: &[
            "--ready-file FILE    write URLs, keys and names there once requests are served",
            "--for TIME           end after this time",
            "--port PORT          the first caller port; 0 takes any (0)",
            "--policy NAME        the routing policy (expected-wait)",
            "--step TIME          time of an engine's step (10ms)",
            "--log-level LEVEL    error, warn, info, debug or off (info)",
            "--log-format FORMAT  text or json (text)",
        ],
        examples: &[Example {
            line: "dev --for 1s --log-level warn",
            about: "Runs it for a second",
        }],
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    logging::start(arguments)?;
    let defaults = Options::default();
    let options = Options {
        policy: arguments.or("--policy", defaults.policy.clone())?,
        step: arguments.duration_or("--step", defaults.step)?,
        first_port: arguments.or("--port", 0)?,
        ..defaults
    };
    let ready_file: Option<String> = arguments.optional("--ready-file")?;
    let time = arguments.optional::<String>("--for")?;
    arguments.finish()?;
    let time = time.map(|text| {
        crate::arguments::parse_duration(&text).ok_or_else(|| {
            let help = "write a time as 250ms, 10s, 5m or 1h";
            Error::setting("--for", format!("'{text}' is no time"), help)
        })
    });
    let time = time.transpose()?;
    filberttrail_kernel::plugin::find::<filberttrail_route::Policy>(&options.policy)?;
    runtime::block_on(async {
        let mut stop = runtime::watch_stop_signals()?;
        let estate = tokio::select! {
            estate = Estate::start(options) => estate?,
            () = stopped(&mut stop) => return Ok(crate::DONE),
        };
        print_ready(&estate.ready);
        if let Some(file) = &ready_file {
            write_ready(file, &estate.ready)?;
        }
        tokio::select! {
            () = stopped(&mut stop) => {}
            () = tokio::time::sleep(time.unwrap_or(Duration::MAX)) => {}
        }
        let stopping = tokio::task::spawn_blocking(move || estate.stop());
        let _ = stopping.await;
        Ok(crate::DONE)
    })
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn print_ready(ready: &Ready) {
    runtime::announce(&format!("platform {}", ready.platform));
    for (caller, admin) in ready.callers.iter().zip(&ready.admins) {
        runtime::announce(&format!("callers {caller}   admin {admin}"));
    }
    if let Some((team, key)) = ready.teams.first_key_value() {
        runtime::announce(&format!("team {team}   key {key}"));
    }
}

/// Writes the file whole or not at all, so that a waiting script never reads half of it.
fn write_ready(file: &str, ready: &Ready) -> Result<()> {
    let help = "check the path and its permissions";
    let fault = |fault: std::io::Error| Error::system(file, fault, help);
    let text = serde_json::to_vec_pretty(ready).unwrap_or_default();
    let draft = format!("{file}.new");
    std::fs::write(&draft, text).map_err(fault)?;
    std::fs::rename(&draft, file).map_err(fault)?;
    Ok(())
}
