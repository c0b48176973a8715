//! `diff`: shows what `apply` would change.

use crate::arguments::Arguments;
use crate::command::{Command, Example};
use crate::runtime;
use filberttrail_declare::diff::{Change, diff};
use filberttrail_declare::model::Declarations;
use filberttrail_kernel::Result;
use filberttrail_kernel::plugin::inventory;
use filberttrail_store::{Platform, configuration};
use std::net::SocketAddr;

inventory::submit! {
    Command {
        name: "diff",
        usage: "PATH --platform ADDRESS [--json]",
        about: "Shows what 'apply' would change; exit code 1 if there are changes",
        flags: &["--platform ADDRESS   the platform's IP address and port", "--json   print JSON"],
        examples: &[Example {
            line: "diff samples/estate --platform 127.0.0.1:7000",
            about: "Compares a directory with the declarations in force",
        }],
        exit_codes: None,
        run,
    }
}

fn run(arguments: &mut Arguments) -> Result<u8> {
    let json = arguments.flag("--json");
    let platform: SocketAddr = arguments.required("--platform")?;
    let path = arguments.positional("PATH")?;
    arguments.finish()?;
    let declarations = super::source::read(&path)?;
    let changes = runtime::block_on(compare(&Platform::new(platform), &declarations))?;
    print(&changes, json);
    Ok(if changes.is_empty() { crate::SUCCESS } else { crate::FAILURE })
}

/// Lists the changes from the declarations in force to `next`. With none in force, every
/// declaration is a change.
pub async fn compare(platform: &Platform, next: &Declarations) -> Result<Vec<Change>> {
    let current = match configuration::read_manifest(platform).await? {
        Some((_, manifest)) => configuration::read_declarations(platform, &manifest).await?,
        None => Declarations::default(),
    };
    Ok(diff(&current, next))
}

/// Prints changes as text, or as a JSON list.
pub fn print(changes: &[Change], json: bool) {
    if json {
        println!("{}", serde_json::to_string(changes).unwrap_or_default());
        return;
    }
    println!("{}", format(changes));
}

/// Formats changes as text, with their number in the last line.
pub fn format(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        text.push_str(&format!("{:<8} {}\n", change.what, change.place));
        if let (Some(before), Some(after)) = (&change.before, &change.after) {
            text.push_str(&format!("         - {before}\n         + {after}\n"));
        }
    }
    text.push_str(&format!("{} changes", changes.len()));
    text
}
