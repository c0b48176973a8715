//! The command line of `filberttrail`. Each command is defined in a file of its own and registers
//! itself with the plugin registry.

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

/// The exit code of a command that succeeded.
pub const SUCCESS: u8 = 0;
/// The exit code of a command that failed, found an error in its input or missed its target.
pub const FAILURE: u8 = 1;
/// The exit code for wrong arguments or settings.
pub const USAGE_ERROR: u8 = 2;
/// The exit code of a change that conflicts with a concurrent change by another operator.
pub const CONFLICT: u8 = 3;
/// The exit code of a command that got no usable response from the platform.
pub const UNAVAILABLE: u8 = 4;

/// Runs the command that `arguments` name and returns its exit code. `arguments` do not include the
/// program name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let arguments: Vec<String> =
        arguments.iter().map(|argument| argument.to_string_lossy().into_owned()).collect();
    let Some((command, rest)) = command::find(&arguments) else {
        let names = plugin::names::<Command>();
        let wants_help =
            matches!(arguments.first().map(String::as_str), None | Some("--help" | "-h"));
        if wants_help {
            print!("{}", command::format_overview());
            return ExitCode::from(SUCCESS);
        }
        eprintln!("filberttrail: no command is called '{}'", arguments.join(" "));
        eprintln!("  help: use one of: {}", names.join(", "));
        return ExitCode::from(USAGE_ERROR);
    };
    if rest.iter().any(|argument| argument == "--help" || argument == "-h") {
        print!("{}", command.help());
        return ExitCode::from(SUCCESS);
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
