//! The entry point of the `filberttrail` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    filberttrail_cli::run(std::env::args_os().skip(1).collect())
}
