//! Loads the settings file of a daemon that runs on the users' platform.

use crate::arguments::Arguments;
use filberttrail_kernel::Result;
use filberttrail_platform::settings;

/// Reads the file that `--settings` or the `FILBERTTRAIL_SETTINGS` variable names, and returns its
/// settings and a function that reads them again for a reload. With `--check`, only validates the
/// file and returns `None`, so that the command ends.
///
/// # Errors
///
/// Any error of the arguments, of reading the file or of `decode`.
pub fn load<T>(
    arguments: &mut Arguments,
    decode: fn(&str, &[u8]) -> Result<T>,
) -> Result<Option<(T, impl Fn() -> Result<T> + Send + 'static)>>
where
    T: 'static,
{
    let path = match arguments.optional::<String>("--settings")? {
        Some(path) => path,
        None => settings::path()?,
    };
    let check = arguments.flag("--check");
    arguments.finish()?;
    let settings = settings::read(&path, decode)?;
    if check {
        println!("settings are valid");
        return Ok(None);
    }
    Ok(Some((settings, move || settings::read(&path, decode))))
}
