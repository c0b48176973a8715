//! The `filberttrail-soak` program: runs the soak, or a gateway that lacks a mechanism.

use filberttrail_gateway::Gateway;
use filberttrail_kernel::{Error, Result};
use filberttrail_platform::settings as platform_settings;
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
  --without MECHANISM   soaks gateways that lack drain, proof, once, revocation, leaving,
                        outs or blame
  --keep                keeps settings and logs also if every promise held
  --plan                prints what the seed does, and ends

The second form runs such a gateway. Ends with 1 if a promise was broken, with 2 on other faults.";

/// Maximum number of gateway processes of a run. A VM that is shared with other work can run a few
/// hundred processes at most.
const MAX_PROCESSES: usize = 200;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let outcome = match arguments.subcommand() {
        Ok(Some(name)) if name == "gateway" => run_gateway(arguments),
        Ok(Some(name)) => Err(usage_error("command", format!("there is no '{name}'")).into()),
        Ok(None) => run_soak(arguments),
        Err(error) => Err(usage_error("command", error).into()),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("error: {}", error.current_context());
        ExitCode::from(2)
    })
}

fn usage_error(label: &str, error: impl ToString) -> Error {
    Error::setting(label, error, "see filberttrail-soak --help")
}

fn read_mutant(arguments: &mut Arguments) -> Result<Option<Mutant>> {
    let name: Option<String> = arguments
        .opt_value_from_str("--without")
        .map_err(|error| usage_error("--without", error))?;
    name.map(|name| Mutant::find(&name)).transpose()
}

fn reject_remaining(arguments: Arguments) -> Result<()> {
    match arguments.finish().first() {
        Some(rest) => Err(usage_error(&rest.to_string_lossy(), "it is not known").into()),
        None => Ok(()),
    }
}

fn build_runtime() -> Result<tokio::runtime::Runtime> {
    let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    Ok(built.map_err(|error| Error::system("threads", error, "raise the limit of threads"))?)
}

fn run_gateway(mut arguments: Arguments) -> Result<ExitCode> {
    let path: String =
        arguments.value_from_str("--settings").map_err(|error| usage_error("--settings", error))?;
    let mutant = read_mutant(&mut arguments)?;
    reject_remaining(arguments)?;
    let mut settings = platform_settings::read(&path, platform_settings::decode_gateway)?;
    let mut interface = platform_settings::interface();
    if let Some(mutant) = mutant {
        mutant.apply(&mut settings, &mut interface);
    }
    let reload_settings = settings.clone();
    let gateway = Gateway::new(settings, interface, None)?;
    build_runtime()?.block_on(async move {
        let stop = filberttrail_cli::runtime::watch_stop_signals()?;
        let reloads = filberttrail_cli::runtime::watch_reload_signals()?;
        gateway.run(stop, reloads, move || Ok(reload_settings.clone())).await
    })?;
    Ok(ExitCode::SUCCESS)
}

fn run_soak(mut arguments: Arguments) -> Result<ExitCode> {
    let mut read_number = |name: &'static str, default: u64| {
        let given = arguments.opt_value_from_str(name).map_err(|error| usage_error(name, error))?;
        Result::Ok(given.unwrap_or(default))
    };
    let seed = read_number("--seed", 1)?;
    let seconds = read_number("--seconds", 20)?;
    let processes = read_number("--processes", 3)? as usize;
    if !(1..=MAX_PROCESSES).contains(&processes) {
        return Err(usage_error("--processes", format!("give 1 to {MAX_PROCESSES}")).into());
    }
    let given: Option<String> = arguments
        .opt_value_from_str("--program")
        .map_err(|error| usage_error("--program", error))?;
    let mutant = read_mutant(&mut arguments)?;
    let keep_files = arguments.contains("--keep");
    let plan_only = arguments.contains("--plan");
    reject_remaining(arguments)?;
    let executable = std::env::current_exe()
        .map_err(|error| Error::system("program", error, "give --program PATH"))?;
    let program = match (given, mutant) {
        (_, Some(_)) => executable.display().to_string(),
        (Some(program), None) => program,
        (None, None) => executable.with_file_name("filberttrail").display().to_string(),
    };
    let faults_for = Duration::from_secs(seconds);
    let name = format!("filberttrail-soak-{}-{seed}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    let settings = Settings {
        seed,
        faults_for,
        processes,
        program,
        mutant,
        directory: directory.clone(),
        keep_files,
    };
    if plan_only {
        for step in filberttrail_soak::run::draw_plan(&settings).steps {
            println!("{:>9.3} s  {}", step.at.as_secs_f64(), step.fault);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = build_runtime()?.block_on(async {
        let mut stop = filberttrail_cli::runtime::watch_stop_signals()?;
        // After a signal, the runtime is dropped with its tasks and the estate, which kills the
        // gateway processes.
        tokio::select! {
            outcome = run(settings) => outcome,
            _ = stop.wait_for(|stop| *stop) => {
                Err(Error::system("run", "it was stopped by a signal", "start it again").into())
            }
        }
    })?;
    print_outcome(&outcome);
    if outcome.report.violations() == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    println!("settings and logs: {}", directory.display());
    Ok(ExitCode::from(1))
}

fn print_outcome(outcome: &Outcome) {
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
