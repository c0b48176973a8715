//! Measures how the cost of state and of decisions grows, at three sizes each.

mod components;
mod idle;

use filberttrail_kernel::Result;
use serde::Serialize;

/// One measured figure at one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The measured quantity.
    pub what: String,
    /// The size, in the unit that `what` names.
    pub size: u64,
    /// The measured value, in `unit`.
    pub figure: f64,
    /// The unit of `figure`, such as `us` or `bytes`.
    pub unit: String,
}

impl Row {
    /// Creates a row.
    pub fn new(what: &str, size: usize, figure: f64, unit: &str) -> Self {
        let (what, unit) = (what.to_string(), unit.to_string());
        Self { what, size: size as u64, figure, unit }
    }
}

/// The result of all measurements.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// One row for each quantity and size.
    pub rows: Vec<Row>,
}

/// Runs all measurements; returns an error if the test deployment does not start.
pub async fn run() -> Result<Outcome> {
    let mut rows = components::measure()?;
    rows.extend(idle::measure().await?);
    Ok(Outcome { rows })
}
