//! Parses command-line arguments. A flag takes precedence over its environment variable, and that
//! over the default.

use filberttrail_kernel::{Error, Result};
use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

/// The arguments that follow the name of a command.
pub struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    /// Wraps the arguments that follow the name of a command.
    pub fn new(arguments: Vec<String>) -> Self {
        let arguments = arguments.into_iter().map(OsString::from).collect();
        Self { inner: pico_args::Arguments::from_vec(arguments) }
    }

    /// Returns whether a flag without a value is set, on the command line or by `true` in its
    /// environment variable.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
            || std::env::var(environment_variable(name)).is_ok_and(|text| text == "true")
    }

    /// Returns the value of a flag, or `None` if neither the flag nor its environment variable is
    /// set.
    ///
    /// # Errors
    ///
    /// [`Error::Setting`] if the value is missing or cannot be parsed.
    pub fn optional<T>(&mut self, name: &'static str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let given: Option<String> = self
            .inner
            .opt_value_from_str(name)
            .map_err(|error| Error::setting(name, error, "give it one value"))?;
        let source = if given.is_some() { name.to_string() } else { environment_variable(name) };
        let Some(text) = given.or_else(|| std::env::var(environment_variable(name)).ok()) else {
            return Ok(None);
        };
        let parsed = text.parse().map_err(|error| {
            let help = "see --help for the expected format";
            Error::setting(source, format!("'{text}': {error}"), help)
        })?;
        Ok(Some(parsed))
    }

    /// Returns the value of a flag, or `default` if it is not set.
    pub fn value_or<T>(&mut self, name: &'static str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Returns the value of a flag that must be set.
    pub fn required<T>(&mut self, name: &'static str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(name)?.ok_or_else(|| {
            let help = format!("pass {name} or set {}", environment_variable(name));
            Error::setting(name, "not given", help).into()
        })
    }

    /// Returns a duration, written as `250ms`, `10s`, `5m` or `1h`, or `default` if it is not set.
    pub fn duration_or(&mut self, name: &'static str, default: Duration) -> Result<Duration> {
        let Some(text) = self.optional::<String>(name)? else { return Ok(default) };
        parse_duration(&text).ok_or_else(|| {
            let help = "write a duration as 250ms, 10s, 5m or 1h";
            Error::setting(name, format!("'{text}' is not a duration"), help).into()
        })
    }

    /// Returns the next positional argument; `what` names it in the error if it is missing.
    pub fn positional(&mut self, what: &'static str) -> Result<String> {
        self.inner.free_from_str().map_err(|_| {
            let help = "see --help for the usage";
            Error::setting(what, "not given", help).into()
        })
    }

    /// Returns an error for the first argument that no earlier call has consumed.
    pub fn finish(&mut self) -> Result<()> {
        let inner = std::mem::replace(&mut self.inner, pico_args::Arguments::from_vec(Vec::new()));
        let unknown = inner.finish();
        match unknown.first() {
            None => Ok(()),
            Some(argument) => {
                let help = "remove it, or see --help for the known arguments";
                Err(Error::setting(argument.to_string_lossy(), "unknown argument", help).into())
            }
        }
    }
}

/// Returns the environment variable of a flag: `FILBERTTRAIL_BODY_BYTES` for `--body-bytes`.
pub fn environment_variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_ascii_uppercase();
    format!("FILBERTTRAIL_{name}")
}

/// Parses a whole number followed by `ms`, `s`, `m` or `h`; returns `None` for anything else and on
/// overflow.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let number: u64 = number.parse().ok()?;
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(unit_ms).map(Duration::from_millis)
}
