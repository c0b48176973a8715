//! `stand-in platform|engine|service`: runs a stand-in as a process of its own.

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

const LISTEN: &str = "--listen ADDRESS     where it listens (port 0 takes any)";

inventory::submit! {
    Command {
        name: "stand-in platform",
        usage: "[--listen ADDRESS] [--reads N] [--writes N]",
        about: "Runs a stand-in platform; PUT /control/faults switches its faults",
        flags: &[
            LISTEN,
            "--reads N            reads, lists and watches answered a second (2000)",
            "--writes N           writes answered a second (500)",
        ],
        examples: &[Example {
            line: "stand-in platform --listen 127.0.0.1:0",
            about: "Runs it until it is asked to stop",
        }],
        run: |arguments| {
            let defaults = Rates::default();
            let rates = Rates {
                reads: arguments.or("--reads", defaults.reads)?,
                writes: arguments.or("--writes", defaults.writes)?,
            };
            run(arguments, move |listener, stop| Platform::new(rates).run(listener, stop))
        },
    }
}

inventory::submit! {
    Command {
        name: "stand-in engine",
        usage: "[--listen ADDRESS] [--step TIME] [--cold-limit N] [--warm-limit N]",
        about: "Runs a stand-in engine; PUT /control/script turns it cold or stalls it",
        flags: &[
            LISTEN,
            "--step TIME          time of a step (10ms)",
            "--cold-limit N       requests that it bears when cold (4)",
            "--warm-limit N       requests that it bears when warm (32)",
        ],
        examples: &[Example {
            line: "stand-in engine --listen 127.0.0.1:0 --step 20ms",
            about: "Runs it until it is asked to stop",
        }],
        run: |arguments| {
            let defaults = engine::Settings::default();
            let settings = engine::Settings {
                step: arguments.duration_or("--step", Duration::from_millis(10))?,
                cold_limit: arguments.or("--cold-limit", defaults.cold_limit)?,
                warm_limit: arguments.or("--warm-limit", defaults.warm_limit)?,
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
        about: "Runs a stand-in service; GET /control/counts tells how often each action ran",
        flags: &[LISTEN],
        examples: &[Example {
            line: "stand-in service --listen 127.0.0.1:0",
            about: "Runs it until it is asked to stop",
        }],
        run: |arguments| {
            run(arguments, move |listener, stop| Service::new().run(listener, stop))
        },
    }
}

fn run<F, R>(arguments: &mut Arguments, role: F) -> Result<u8>
where
    F: FnOnce(TcpListener, watch::Receiver<bool>) -> R,
    R: Future<Output = ()>,
{
    logging::start(arguments)?;
    let listen = arguments.or("--listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    arguments.finish()?;
    runtime::block_on(async {
        let stop = runtime::watch_stop_signals()?;
        let listener = server::bind(listen).await?;
        if let Ok(address) = listener.local_addr() {
            runtime::announce(&format!("listens http://{address}"));
        }
        role(listener, stop).await;
        Ok(crate::DONE)
    })
}
