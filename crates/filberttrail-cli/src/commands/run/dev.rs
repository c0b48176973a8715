//! `dev`: runs a whole estate on loopback in one process.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use filberttrail_dev::{Estate, Options, ReadyFile};
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
            "--ready-file FILE    write URLs, keys and names to FILE once requests are served",
            "--for TIME           stop after this time",
            "--port PORT          the first port for callers; 0 lets the system choose (0)",
            "--policy NAME        the routing policy (expected-wait)",
            "--step TIME          duration of an engine step (10ms)",
            "--log-level LEVEL    error, warn, info, debug or off (info)",
            "--log-format FORMAT  text or json (text)",
        ],
        examples: &[Example {
            line: "dev --for 1s --log-level warn",
            about: "Runs an estate for one second",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    logging::init(arguments)?;
    let defaults = Options::default();
    let options = Options {
        policy: arguments.value_or("--policy", defaults.policy.clone())?,
        step: arguments.duration_or("--step", defaults.step)?,
        first_port: arguments.value_or("--port", 0)?,
        ..defaults
    };
    let ready_file: Option<String> = arguments.optional("--ready-file")?;
    let run_time = arguments.optional::<String>("--for")?;
    arguments.finish()?;
    let run_time = run_time.map(|text| {
        crate::arguments::parse_duration(&text).ok_or_else(|| {
            let help = "write a duration as 250ms, 10s, 5m or 1h";
            Error::setting("--for", format!("'{text}' is not a duration"), help)
        })
    });
    let run_time = run_time.transpose()?;
    filberttrail_kernel::plugin::find::<filberttrail_route::Policy>(&options.policy)?;
    runtime::block_on(async {
        let mut stop = runtime::watch_stop_signals()?;
        let estate = tokio::select! {
            estate = Estate::start(options) => estate?,
            () = wait_for_stop(&mut stop) => return Ok(crate::SUCCESS),
        };
        print_addresses(&estate.ready_file);
        if let Some(file) = &ready_file {
            write_ready_file(file, &estate.ready_file)?;
        }
        tokio::select! {
            () = wait_for_stop(&mut stop) => {}
            () = tokio::time::sleep(run_time.unwrap_or(Duration::MAX)) => {}
        }
        let stopping = tokio::task::spawn_blocking(move || estate.stop());
        let _ = stopping.await;
        Ok(crate::SUCCESS)
    })
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn print_addresses(ready: &ReadyFile) {
    runtime::announce(&format!("platform {}", ready.platform));
    for (caller, admin) in ready.callers.iter().zip(&ready.admins) {
        runtime::announce(&format!("callers {caller}   admin {admin}"));
    }
    if let Some((team, key)) = ready.teams.first_key_value() {
        runtime::announce(&format!("team {team}   key {key}"));
    }
}

/// Writes the file under a temporary name and renames it, so that a script that waits for the file
/// never reads a part of it.
fn write_ready_file(file: &str, ready: &ReadyFile) -> Result<()> {
    let help = "check the path and its permissions";
    let write_error = |error: std::io::Error| Error::system(file, error, help);
    let text = serde_json::to_vec_pretty(ready).unwrap_or_default();
    let temporary = format!("{file}.new");
    std::fs::write(&temporary, text).map_err(write_error)?;
    std::fs::rename(&temporary, file).map_err(write_error)?;
    Ok(())
}
