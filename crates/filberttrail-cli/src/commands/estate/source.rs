//! Reads declarations from a file or directory.

use filberttrail_declare::load;
use filberttrail_declare::model::Declarations;
use filberttrail_kernel::{Error, Result};
use std::path::Path;

/// Reads and validates declarations. Prints every error with its location and remedy to standard
/// error.
///
/// # Errors
///
/// [`Error::Declaration`] with the number of errors that were printed.
pub fn read(path: &str) -> Result<Declarations> {
    let outcome = load::read_path(Path::new(path)).and_then(|sources| load::parse(&sources));
    outcome.map_err(|errors| {
        for error in &errors {
            let detail = error.detail();
            eprintln!("{}: {}\n  help: {}", detail.subject, detail.message, detail.help);
        }
        let summary = format!("{} errors", errors.len());
        Error::declaration(path, summary, "fix each of the errors listed above").into()
    })
}
