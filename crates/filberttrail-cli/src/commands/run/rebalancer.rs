//! `rebalancer`: runs a rebalancer, which moves experts between the ranks of a lock-step group.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{runtime, settings};
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_platform::engine;
use filberttrail_platform::settings::decode_rebalancer;
use filberttrail_rebalance::Rebalancer;

inventory::submit! {
    Command {
        name: "rebalancer",
        usage: "[--settings PATH] [--check]",
        about: "Runs a rebalancer, which moves experts between the ranks of its engine's group",
        flags: &[
            "--settings PATH       the settings file (the one that FILBERTTRAIL_SETTINGS names)",
            "--check               check the settings and exit",
        ],
        examples: &[Example {
            line: "rebalancer --settings samples/rebalancer.json --check",
            about: "Checks a settings file",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let Some((settings, reload_settings)) = settings::load(arguments, decode_rebalancer)? else {
        return Ok(crate::SUCCESS);
    };
    let rebalancer = Rebalancer::new(settings, engine::interface());
    runtime::block_on(async move {
        let signals = (runtime::watch_stop_signals()?, runtime::watch_reload_signals()?);
        rebalancer.run(signals.0, signals.1, reload_settings).await
    })?;
    Ok(crate::SUCCESS)
}
