//! The settings file of a daemon on the users' platform.

use crate::arguments::Arguments;
use filberttrail_kernel::Result;
use filberttrail_platform::settings;

/// Reads the file that `--settings` or the environment names, and returns its settings and how to read
/// them again. With `--check` that is all: there are none to run with.
pub fn take<T>(
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
    let read = settings::read(&path, decode)?;
    if check {
        println!("settings are in order");
        return Ok(None);
    }
    Ok(Some((read, move || settings::read(&path, decode))))
}
