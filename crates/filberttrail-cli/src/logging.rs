//! Sets up logging to standard error, as text or JSON lines.

use crate::arguments::Arguments;
use filberttrail_kernel::{Error, Result};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// The lines of help for the logging flags, which every daemon accepts.
pub const FLAGS: [&str; 2] = [
    "--log-level LEVEL     error, warn, info, debug or off (info)",
    "--log-format FORMAT   text or json (text)",
];

/// Starts logging to standard error with the level and format of `--log-level` and `--log-format`.
///
/// # Errors
///
/// [`Error::Setting`] for an unknown level or format, or if a logger is already installed.
pub fn init(arguments: &mut Arguments) -> Result<()> {
    let level: LevelFilter = arguments.value_or("--log-level", LevelFilter::Info)?;
    let format: String = arguments.value_or("--log-format", "text".to_string())?;
    let encoder: Box<dyn Encode> = match format.as_str() {
        "text" => Box::new(PatternEncoder::new("{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t} {m}{n}")),
        "json" => Box::new(JsonEncoder::new()),
        other => {
            let message = format!("'{other}' is not a log format");
            return Err(Error::setting("--log-format", message, "use text or json").into());
        }
    };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level))
        .map_err(|error| Error::setting("logging", error, "report this as a bug"))?;
    log4rs::init_config(config)
        .map_err(|error| Error::setting("logging", error, "initialize logging only once"))?;
    Ok(())
}
