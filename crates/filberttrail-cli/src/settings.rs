//! Loads the settings file of a daemon, `gateway` or `rebalancer`. The platform that hosts the
//! daemon writes the file; its format is defined in the `filberttrail-platform` crate.

use crate::arguments::Arguments;
use filberttrail_kernel::Result;
use filberttrail_platform::settings;

/// Reads the file that `--settings` or the environment variable `FILBERTTRAIL_SETTINGS` names, and
/// returns its settings and a function that reads the file again for a reload. With `--check`, only
/// validates the file and returns `None`, so that the command ends.
///
/// `decode` gets the path of the file, for its error messages, and the content of the file.
///
/// # Errors
///
/// `Error::Setting` if an argument is invalid or no file is named; any error of reading the file or
/// of `decode`.
pub fn load<T>(
    arguments: &mut Arguments,
    decode: fn(&str, &[u8]) -> Result<T>,
) -> Result<Option<(T, impl Fn() -> Result<T> + Send + 'static)>>
where
    T: 'static,
{
    let path = match arguments.optional::<String>("--settings")? {
        Some(path) => path,
        // Reads the environment variable.
        None => settings::path()?,
    };
    let check = arguments.flag("--check");
    arguments.finish()?;
    let loaded = settings::read(&path, decode)?;
    if check {
        println!("settings are valid");
        return Ok(None);
    }
    Ok(Some((loaded, move || settings::read(&path, decode))))
}
