//! The definition of a command, the lookup by name and the help texts.

use crate::arguments::Arguments;
use filberttrail_kernel::plugin::{Plugin, inventory};
use filberttrail_kernel::{Error, Result};

/// The exit codes of a command that does not state its own.
const EXIT_CODES: &str = "0 success, 1 failure or missed target, 2 usage error, \
    3 conflicting change by another operator, 4 platform unavailable";

/// A command of the program. Commands register themselves through `inventory::submit!`.
pub struct Command {
    /// One or more words, such as `preset use`.
    pub name: &'static str,
    /// The arguments in the usage line of `--help`.
    pub usage: &'static str,
    /// A description in one line.
    pub about: &'static str,
    /// One line of help for each flag.
    pub flags: &'static [&'static str],
    /// Example calls, shown by `--help` and run by `tests/examples.rs`.
    pub examples: &'static [Example],
    /// The exit codes as `--help` shows them; `None` for those that most commands have.
    pub exit_codes: Option<&'static str>,
    /// Executes the command and returns the exit code of the process.
    pub run: fn(&mut Arguments) -> Result<u8>,
}

/// An example call of a command.
pub struct Example {
    /// The command line without the program name.
    pub line: &'static str,
    /// A description in one line.
    pub about: &'static str,
}

inventory::collect!(Command);

impl Plugin for Command {
    const KIND: &'static str = "command";

    fn name(&self) -> &'static str {
        self.name
    }
}

impl Command {
    /// Returns the help text that `--help` prints.
    pub fn help(&self) -> String {
        let mut text =
            format!("{}\n\nUsage: filberttrail {} {}\n", self.about, self.name, self.usage);
        if !self.flags.is_empty() {
            text.push_str("\nFlags:\n");
            for flag in self.flags {
                text.push_str(&format!("  {flag}\n"));
            }
        }
        text.push_str("\nExamples:\n");
        for example in self.examples {
            text.push_str(&format!("  {}\n  > filberttrail {}\n", example.about, example.line));
        }
        let exit_codes = self.exit_codes.unwrap_or(EXIT_CODES);
        text.push_str(&format!("\nExit codes: {exit_codes}\n"));
        text
    }
}

/// Returns all registered commands, sorted by name.
pub fn list_all() -> Vec<&'static Command> {
    let mut commands: Vec<&Command> = inventory::iter::<Command>.into_iter().collect();
    commands.sort_by_key(|command| command.name);
    commands
}

/// Finds the command with the longest name that `arguments` begin with, and returns it with the
/// arguments after its name.
pub fn find(arguments: &[String]) -> Option<(&'static Command, Vec<String>)> {
    let matches = |command: &&Command| {
        let words: Vec<&str> = command.name.split(' ').collect();
        arguments.len() >= words.len()
            && words.iter().zip(arguments).all(|(word, argument)| word == argument)
    };
    let command =
        list_all().into_iter().filter(matches).max_by_key(|command| command.name.len())?;
    let word_count = command.name.split(' ').count();
    Some((command, arguments[word_count..].to_vec()))
}

/// Returns the help text that `filberttrail --help` prints.
pub fn format_overview() -> String {
    let mut text = String::from("A load balancer for expert-parallel model groups\n\nCommands:\n");
    for command in list_all() {
        text.push_str(&format!("  {:<22} {}\n", command.name, command.about));
    }
    text.push_str("\nSee 'filberttrail COMMAND --help' for the usage of a command.\n");
    text
}

/// Returns the exit code for an error, so that scripts can distinguish the kinds of error.
pub fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Setting(_) | Error::Request(_) => crate::USAGE_ERROR,
        Error::Conflict(_) => crate::CONFLICT,
        Error::Platform(_) => crate::UNAVAILABLE,
        _ => crate::FAILURE,
    }
}
