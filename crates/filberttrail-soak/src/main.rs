//! The `filberttrail-soak` program.

use filberttrail_gateway::Gateway;
use filberttrail_kernel::{Error, Result};
use filberttrail_platform::settings as wire;
use filberttrail_soak::run::{Outcome, Settings, run};
use filberttrail_soak::{Mutant, evidence::Evidence};
use pico_args::Arguments;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
usage: filberttrail-soak [--seed N] [--seconds S] [--processes P] [--program PATH]
                         [--without MECHANISM] [--keep] [--plan]
       filberttrail-soak gateway --settings PATH [--without MECHANISM]

  --seed N              decides the faults (1)
  --seconds S           how long faults come (20)
  --processes P         gateways, each a process of its own (3)
  --program PATH        the program under soak (filberttrail beside this one)
  --without MECHANISM   soaks gateways that lack drain, proof, once, revocation, leaving or outs
  --keep                keeps settings and logs also if every promise held
  --plan                prints what the seed does, and ends

The second form runs such a gateway. Ends with 1 if a promise was broken, with 2 on other faults.";

/// The most processes of a run: a few hundred are the limit of a machine that others use.
const PROCESSES: usize = 200;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let outcome = match arguments.subcommand() {
        Ok(Some(name)) if name == "gateway" => run_gateway(arguments),
        Ok(Some(name)) => Err(usage("command", format!("there is no '{name}'")).into()),
        Ok(None) => soak(arguments),
        Err(fault) => Err(usage("command", fault).into()),
    };
    outcome.unwrap_or_else(|fault| {
        eprintln!("error: {}", fault.current_context());
        ExitCode::from(2)
    })
}

fn usage(label: &str, fault: impl ToString) -> Error {
    Error::setting(label, fault, "see filberttrail-soak --help")
}

fn mutant(arguments: &mut Arguments) -> Result<Option<Mutant>> {
    let name: Option<String> =
        arguments.opt_value_from_str("--without").map_err(|fault| usage("--without", fault))?;
    name.map(|name| Mutant::find(&name)).transpose()
}

fn finish(arguments: Arguments) -> Result<()> {
    match arguments.finish().first() {
        Some(rest) => Err(usage(&rest.to_string_lossy(), "it is not known").into()),
        None => Ok(()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    Ok(built.map_err(|fault| Error::system("threads", fault, "raise the limit of threads"))?)
}

fn run_gateway(mut arguments: Arguments) -> Result<ExitCode> {
    let path: String =
        arguments.value_from_str("--settings").map_err(|fault| usage("--settings", fault))?;
    let mutant = mutant(&mut arguments)?;
    finish(arguments)?;
    let mut settings = wire::read(&path, wire::decode_gateway)?;
    let mut interface = wire::interface();
    if let Some(mutant) = mutant {
        mutant.apply(&mut settings, &mut interface);
    }
    let held = settings.clone();
    let gateway = Gateway::new(settings, interface, None)?;
    runtime()?.block_on(async move {
        let stop = filberttrail_cli::runtime::stop_on_signals()?;
        let reloads = filberttrail_cli::runtime::reloads_on_signals()?;
        gateway.run(stop, reloads, move || Ok(held.clone())).await
    })?;
    Ok(ExitCode::SUCCESS)
}

fn soak(mut arguments: Arguments) -> Result<ExitCode> {
    let mut number = |name: &'static str, usual: u64| {
        let given = arguments.opt_value_from_str(name).map_err(|fault| usage(name, fault))?;
        Result::Ok(given.unwrap_or(usual))
    };
    let seed = number("--seed", 1)?;
    let seconds = number("--seconds", 20)?;
    let processes = number("--processes", 3)? as usize;
    if !(1..=PROCESSES).contains(&processes) {
        return Err(usage("--processes", format!("give 1 to {PROCESSES}")).into());
    }
    let given: Option<String> =
        arguments.opt_value_from_str("--program").map_err(|fault| usage("--program", fault))?;
    let mutant = mutant(&mut arguments)?;
    let keeps = arguments.contains("--keep");
    let plan_only = arguments.contains("--plan");
    finish(arguments)?;
    let own = std::env::current_exe()
        .map_err(|fault| Error::system("program", fault, "give --program PATH"))?;
    let program = match (given, mutant) {
        (_, Some(_)) => own.display().to_string(),
        (Some(program), None) => program,
        (None, None) => own.with_file_name("filberttrail").display().to_string(),
    };
    let faults_for = Duration::from_secs(seconds);
    let name = format!("filberttrail-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let settings =
        Settings { seed, faults_for, processes, program, mutant, folder: folder.clone(), keeps };
    if plan_only {
        for step in filberttrail_soak::run::plan(&settings).steps {
            println!("{:>9.3} s  {}", step.at.as_secs_f64(), step.fault);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = runtime()?.block_on(async {
        let mut stop = filberttrail_cli::runtime::stop_on_signals()?;
        // The estate is dropped with the run, which ends its processes.
        tokio::select! {
            outcome = run(settings) => outcome,
            _ = stop.wait_for(|stop| *stop) => {
                Err(Error::system("run", "it was stopped by a signal", "start it again").into())
            }
        }
    })?;
    print(&outcome);
    if outcome.report.violations() == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    println!("settings and logs: {}", folder.display());
    Ok(ExitCode::from(1))
}

fn print(outcome: &Outcome) {
    for promise in &outcome.report.promises {
        let (cases, violations) = (promise.cases, promise.violations);
        println!("{:<40} {cases:>7} cases {violations:>5} violations", promise.promise);
        for example in &promise.examples {
            println!("  broken: {example}");
        }
    }
    let Evidence { attempts, runs, .. } = &outcome.evidence;
    let served = attempts.iter().filter(|attempt| attempt.is_served()).count();
    println!(
        "{} requests, {served} served, {} runs, {} faults",
        attempts.len(),
        runs.len(),
        outcome.plan.steps.len()
    );
    println!("{}", outcome.report.summarize());
}
