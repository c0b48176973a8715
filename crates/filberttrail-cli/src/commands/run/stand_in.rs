//! `stand-in platform|engine|service`: runs a stand-in, a simulated platform, engine or
//! service, as a separate process.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_stand_in::platform::Rates;
use filberttrail_stand_in::{Engine, Platform, Service, engine};
use filberttrail_web::server;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LISTEN_FLAG: &str = "--listen ADDRESS     the address to listen on (port 0 takes any)";

inventory::submit! {
    Command {
        name: "stand-in platform",
        usage: "[--listen ADDRESS] [--reads N] [--writes N]",
        about: "Runs a stand-in platform; PUT /control/faults sets the faults that it simulates",
        flags: &[
            LISTEN_FLAG,
            "--reads N            reads, lists and watches answered per second (2000)",
            "--writes N           writes answered per second (500)",
        ],
        examples: &[Example {
            line: "stand-in platform --listen 127.0.0.1:0",
            about: "Runs it until SIGINT or SIGTERM",
        }],
        exit_codes: None,
        run: |arguments| {
            let defaults = Rates::default();
            let rates = Rates {
                reads: arguments.value_or("--reads", defaults.reads)?,
                writes: arguments.value_or("--writes", defaults.writes)?,
            };
            run(arguments, move |listener, stop| Platform::new(rates).run(listener, stop))
        },
    }
}

inventory::submit! {
    Command {
        name: "stand-in engine",
        usage: "[--listen ADDRESS] [--step TIME] [--cold-limit N] [--warm-limit N]",
        about: "Runs a stand-in engine; PUT /control/script makes it cold or stalls it",
        flags: &[
            LISTEN_FLAG,
            "--step TIME          duration of a step (10ms)",
            "--cold-limit N       concurrency limit when cold (4)",
            "--warm-limit N       concurrency limit when warm (32)",
        ],
        examples: &[Example {
            line: "stand-in engine --listen 127.0.0.1:0 --step 20ms",
            about: "Runs it until SIGINT or SIGTERM",
        }],
        exit_codes: None,
        run: |arguments| {
            let defaults = engine::Settings::default();
            let settings = engine::Settings {
                step: arguments.duration_or("--step", Duration::from_millis(10))?,
                cold_limit: arguments.value_or("--cold-limit", defaults.cold_limit)?,
                warm_limit: arguments.value_or("--warm-limit", defaults.warm_limit)?,
                ..defaults
            };
            run(arguments, move |listener, stop| Engine::new(settings).run(listener, stop))
        },
    }
}

inventory::submit! {
    Command {
        name: "stand-in service",
        usage: "[--listen ADDRESS]",
        about: "Runs a stand-in service; GET /control/counts returns how often each action ran",
        flags: &[LISTEN_FLAG],
        examples: &[Example {
            line: "stand-in service --listen 127.0.0.1:0",
            about: "Runs it until SIGINT or SIGTERM",
        }],
        exit_codes: None,
        run: |arguments| {
            run(arguments, move |listener, stop| Service::new().run(listener, stop))
        },
    }
}

/// Binds the address of `--listen` and runs `serve`, the stand-in's server, on it until SIGINT or
/// SIGTERM.
fn run<F, R>(arguments: &mut Arguments, serve: F) -> Result<u8>
where
    F: FnOnce(TcpListener, watch::Receiver<bool>) -> R,
    R: Future<Output = ()>,
{
    logging::init(arguments)?;
    let listen = arguments.value_or("--listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    arguments.finish()?;
    runtime::block_on(async {
        let stop = runtime::watch_stop_signals()?;
        let listener = server::bind(listen).await?;
        if let Ok(address) = listener.local_addr() {
            runtime::announce(&format!("listens http://{address}"));
        }
        serve(listener, stop).await;
        Ok(crate::SUCCESS)
    })
}
