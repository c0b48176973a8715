//! `configuration check`: checks a platform configuration before it is sent.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::commands::estate::diff;
use crate::runtime;
use filberttrail_kernel::plugin::inventory;
use filberttrail_kernel::{Error, Result};
use filberttrail_platform::check::{Report, Severity, check};
use filberttrail_platform::store;
use filberttrail_store::Objects;
use serde_json::{Value, json};
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;

inventory::submit! {
    Command {
        name: "configuration check",
        usage: "FILE [--against FILE | --store ADDRESS] [--json]",
        about: "Checks a platform configuration, and shows what differs from the one in force",
        flags: &[
            "--against FILE    compare with the configuration in a file",
            "--store ADDRESS   compare with the one in the platform's store at this IP and port",
            "--json            print JSON",
        ],
        examples: &[
            Example {
                line: "configuration check samples/configuration.json",
                about: "Checks a configuration without a connection to the platform",
            },
            Example {
                line: "configuration check samples/configuration.json \
                    --against samples/configuration-in-force.json --json",
                about: "Also compares it with another file, and prints JSON",
            },
            Example {
                line: "configuration check samples/configuration.json --store 127.0.0.1:7100",
                about: "Also compares it with the configuration in force",
            },
        ],
        exit_codes: Some("0 nothing found, 1 warnings only, 2 errors, 3 could not check"),
        run,
    }
}

/// The exit code if there are warnings and no errors.
const WARNINGS: u8 = 1;
/// The exit code if there are errors.
const ERRORS: u8 = 2;
/// The exit code if a file or the store could not be read, or if the arguments are wrong.
const NOT_CHECKED: u8 = 3;
/// The largest file that is read, in bytes: gateways take no larger response from the store.
const FILE_LIMIT: u64 = 8 << 20;

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    match check_arguments(arguments) {
        Ok((report, base)) => {
            runtime::announce(&if json {
                report.to_json().to_string()
            } else {
                format(&report, base.as_ref())
            });
            Ok(match report.worst() {
                None => crate::SUCCESS,
                Some(Severity::Warning) => WARNINGS,
                Some(Severity::Error) => ERRORS,
            })
        }
        Err(error) => {
            let error = error.current_context();
            eprintln!("filberttrail configuration check: {error}");
            if json {
                let detail = error.detail();
                let failure = json!({
                    "place": detail.subject, "fault": detail.message, "remedy": detail.help,
                });
                runtime::announce(&json!({ "failure": failure }).to_string());
            }
            Ok(NOT_CHECKED)
        }
    }
}

/// What a configuration is compared with.
enum Base {
    /// A configuration from a file or the store.
    Known(Value),
    /// The store has no configuration.
    Absent,
}

fn check_arguments(arguments: &mut Arguments) -> Result<(Report, Option<Base>)> {
    let against: Option<String> = arguments.optional("--against")?;
    let store: Option<SocketAddr> = arguments.optional("--store")?;
    let path = arguments.positional("FILE")?;
    arguments.finish()?;
    let base = match (against, store) {
        (Some(_), Some(_)) => {
            let help = "pass only one of --against and --store";
            return Err(Error::setting("--against", "given with --store", help).into());
        }
        (Some(path), None) => Some(read_base_file(&path)?),
        (None, Some(address)) => Some(runtime::block_on(read_store(address))?),
        (None, None) => None,
    };
    let next = read_file(&path)?;
    let absent = json!({});
    let in_force = base.as_ref().map(|base| match base {
        Base::Known(value) => value,
        Base::Absent => &absent,
    });
    Ok((check(&next, in_force), base))
}

fn read_file(path: &str) -> Result<Value> {
    let unreadable =
        |error: std::io::Error| Error::setting(path, error, "give the path of a readable file");
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    file.take(FILE_LIMIT + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > FILE_LIMIT {
        let message = format!("larger than {FILE_LIMIT} bytes, which no gateway reads");
        return Err(Error::setting(path, message, "shorten it").into());
    }
    let value = serde_json::from_slice(&bytes).map_err(|error| {
        let help = "correct the JSON at that place";
        Error::setting(path, format!("not JSON: {error}"), help)
    })?;
    Ok(value)
}

fn read_base_file(path: &str) -> Result<Base> {
    let value = read_file(path)?;
    if !value.is_object() {
        let help = "give the configuration in force";
        return Err(Error::setting(path, "not a JSON object", help).into());
    }
    Ok(Base::Known(value))
}

async fn read_store(address: SocketAddr) -> Result<Base> {
    let objects = Objects::new(address, store::dialect());
    let object = objects.get(store::CONFIGURATION, store::CONFIGURATION_NAME).await?;
    match object {
        None => {
            // Another server than the store may also answer 404, but does not return a list.
            objects.list(store::CONFIGURATION).await?;
            Ok(Base::Absent)
        }
        Some(object) if object.value.is_object() => Ok(Base::Known(object.value)),
        Some(_) => {
            let help = "compare with a file by --against, or check without --store";
            Err(Error::platform(address, "its configuration is not a JSON object", help).into())
        }
    }
}

/// Formats a report as text: the findings, the changes and a summary.
fn format(report: &Report, base: Option<&Base>) -> String {
    let mut lines: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    if report.omitted() > 0 {
        lines.push(format!("{} more findings", report.omitted()));
    }
    if let Some(base) = base {
        lines.push(match (base, report.in_force) {
            (Base::Absent, _) => "no configuration is in force".to_string(),
            (Base::Known(_), Some(version)) => format!("changes from version {version}:"),
            (Base::Known(_), None) => "changes from a configuration without a version:".to_string(),
        });
        lines.push(diff::format(&report.changes));
    }
    let (errors, warnings) = (report.count(Severity::Error), report.count(Severity::Warning));
    let version =
        report.version.map_or("no version".into(), |version| format!("version {version}"));
    lines.push(format!("{version}: {errors} errors, {warnings} warnings"));
    lines.join("\n")
}
