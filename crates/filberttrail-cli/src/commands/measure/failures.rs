//! `bench failures`: injects failures into an estate and counts the violations of its promises.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::{logging, runtime};
use filberttrail_bench::failures::{Plan, Report, run as run_failures};
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Disabled, Mechanism, Result};

inventory::submit! {
    Command {
        name: "bench failures",
        usage: "[--seed N] [--only MECHANISM] [--without MECHANISM] [--json]",
        about: "Injects failures into an estate on loopback and counts the violations of its \
                promises",
        flags: &[
            "--seed N              the seed (1)",
            "--only MECHANISM      check only the promise that the mechanism keeps",
            "--without MECHANISM   disable a mechanism, so that violations appear",
            "--json                print JSON",
        ],
        examples: &[Example {
            line: "bench failures --only generations --log-level off",
            about: "Checks one promise",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let mut plan = Plan { seed: arguments.value_or("--seed", 1)?, ..Plan::default() };
    if let Some(name) = arguments.optional::<String>("--only")? {
        plan.only = Some(Mechanism::find(&name)?);
    }
    if let Some(name) = arguments.optional::<String>("--without")? {
        plan.without = Disabled::new().with_disabled(Mechanism::find(&name)?);
    }
    let json = arguments.flag("--json");
    if arguments.optional::<String>("--log-level")?.is_some_and(|level| level != "off") {
        logging::init(arguments)?;
    }
    arguments.finish()?;
    let report = runtime::block_on(run_failures(&plan))?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print(&report);
    }
    Ok(if report.violations() == 0 { crate::SUCCESS } else { crate::FAILURE })
}

fn print(report: &Report) {
    for promise in &report.promises {
        let (cases, violations) = (promise.cases, promise.violations);
        println!("{:<44} {cases:>6} cases {violations:>5} violations", promise.promise);
        for example in &promise.examples {
            println!("  broken: {example}");
        }
        for (what, took) in &promise.recovery_ms {
            println!("  recovery, {what}: {took} ms");
        }
        for (what, count) in &promise.counts {
            println!("  {what}: {count}");
        }
        if promise.unknown > 0 {
            println!("  unknown outcomes: {}", promise.unknown);
        }
    }
    println!("{}", report.summarize());
}
