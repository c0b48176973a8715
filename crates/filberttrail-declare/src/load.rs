//! Reads declarations from TOML files; collects all errors instead of stopping at the first.

use crate::model::{Declarations, Estate};
use filberttrail_kernel::Error;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// The name and text of a declaration file.
#[derive(Debug, Clone)]
pub struct Source {
    /// The name for error messages.
    pub name: String,
    /// The content, in TOML.
    pub text: String,
}

/// Reads one file, or every `.toml` file of a directory, sorted by name.
pub fn read_path(path: &Path) -> Result<Vec<Source>, Vec<Error>> {
    let files = list_files(path).map_err(|error| vec![io_error(path, error)])?;
    if files.is_empty() {
        let help = "name a directory that contains .toml files";
        return Err(vec![Error::declaration(path.display(), "no declarations found", help)]);
    }
    let mut sources = Vec::new();
    let mut errors = Vec::new();
    for file in files {
        match std::fs::read_to_string(&file) {
            Ok(text) => sources.push(Source { name: file.display().to_string(), text }),
            Err(error) => errors.push(io_error(&file, error)),
        }
    }
    if errors.is_empty() { Ok(sources) } else { Err(errors) }
}

/// Parses and checks sources as one set of declarations; each error names its location.
pub fn parse(sources: &[Source]) -> Result<Declarations, Vec<Error>> {
    let mut declarations = Declarations::default();
    let mut errors = Vec::new();
    for source in sources {
        match source.text.parse::<Table>() {
            Ok(table) => add_table(&mut declarations, &mut errors, &source.name, table),
            Err(error) => errors.push(syntax_error(source, &error)),
        }
    }
    errors.extend(crate::check::check(&declarations));
    if errors.is_empty() { Ok(declarations) } else { Err(errors) }
}

fn list_files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "toml") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn io_error(path: &Path, error: std::io::Error) -> Error {
    Error::declaration(path.display(), error, "check the path and its permissions")
}

fn syntax_error(source: &Source, error: &toml::de::Error) -> Error {
    let line = match error.span() {
        Some(span) => 1 + source.text[..span.start].matches('\n').count(),
        None => 1,
    };
    let location = format!("{}:{line}", source.name);
    Error::declaration(location, error.message(), "fix the TOML syntax there")
}

fn add_table(declarations: &mut Declarations, errors: &mut Vec<Error>, file: &str, table: Table) {
    let estate: &mut Estate = &mut declarations.estate;
    for (key, value) in table {
        let location = format!("{file}: {key}");
        match key.as_str() {
            "initial-preset" => match value {
                Value::String(name) => estate.initial_preset = name,
                _ => errors.push(Error::declaration(location, "not a string", "name a preset")),
            },
            "data-centres" => add_items(&mut estate.data_centres, errors, &location, value),
            "groups" => add_items(&mut estate.groups, errors, &location, value),
            "services" => add_items(&mut estate.services, errors, &location, value),
            "upstreams" => add_items(&mut estate.upstreams, errors, &location, value),
            "presets" => add_items(&mut estate.presets, errors, &location, value),
            "teams" => add_items(&mut declarations.teams, errors, &location, value),
            _ => errors.push(Error::declaration(location, "unknown key", KNOWN_KEYS)),
        }
    }
}

const KNOWN_KEYS: &str = "use initial-preset, data-centres, groups, services, upstreams, \
     presets or teams";

fn add_items<T: DeserializeOwned>(
    list: &mut Vec<T>,
    errors: &mut Vec<Error>,
    location: &str,
    value: Value,
) {
    let Value::Array(items) = value else {
        let help = "write each one below its own [[...]] heading";
        errors.push(Error::declaration(location, "not a list of tables", help));
        return;
    };
    for (index, item) in items.into_iter().enumerate() {
        let name = item.get("name").and_then(Value::as_str).unwrap_or("unnamed").to_string();
        match item.try_into::<T>() {
            Ok(item) => list.push(item),
            Err(error) => {
                let location = format!("{location}[{index}] ({name})");
                let help = "see docs/CONFIGURATION.md for the keys and their shapes";
                errors.push(Error::declaration(location, error.message(), help));
            }
        }
    }
}
