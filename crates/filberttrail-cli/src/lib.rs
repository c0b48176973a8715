//! The command line: one command a file, found through the registry.

pub mod arguments;
pub mod command;
pub mod commands;
pub mod logging;
pub mod runtime;
pub mod settings;

pub use command::Command;

use filberttrail_kernel::plugin;
use std::ffi::OsString;
use std::process::ExitCode;

/// The exit code of a command that did what was asked.
pub const DONE: u8 = 0;
/// The exit code of a command that found a fault, or missed its target.
pub const FAULT: u8 = 1;
/// The exit code of a command that was called wrongly.
pub const USAGE: u8 = 2;
/// The exit code of a command that lost a race with another operator.
pub const CONFLICT: u8 = 3;
/// The exit code of a command that the platform did not answer.
pub const UNAVAILABLE: u8 = 4;

/// Runs the command that the arguments name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let words: Vec<String> =
        arguments.iter().map(|word| word.to_string_lossy().into_owned()).collect();
    let Some((command, rest)) = command::find(&words) else {
        let known = plugin::names::<Command>();
        let wants_help = matches!(words.first().map(String::as_str), None | Some("--help" | "-h"));
        if wants_help {
            print!("{}", command::overview());
            return ExitCode::from(DONE);
        }
        eprintln!("filberttrail: no command is called '{}'", words.join(" "));
        eprintln!("  help: use one of: {}", known.join(", "));
        return ExitCode::from(USAGE);
    };
    if rest.iter().any(|word| word == "--help" || word == "-h") {
        print!("{}", command.help());
        return ExitCode::from(DONE);
    }
    let mut arguments = arguments::Arguments::new(rest);
    let outcome = (command.run)(&mut arguments);
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(report) => {
            eprintln!("filberttrail {}: {}", command.name, report.current_context());
            ExitCode::from(command::exit_code(report.current_context()))
        }
    }
}
