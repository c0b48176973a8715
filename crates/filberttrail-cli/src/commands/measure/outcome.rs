//! Prints the outcome of a benchmark.

use serde::Serialize;

/// Prints `rows`, the part of `outcome` to show to people, as a table, or with `json` all of
/// `outcome` as JSON. Returns the exit code: success if `is_target_met`.
pub fn print<O: Serialize, R: Serialize>(
    outcome: &O,
    rows: &[R],
    is_target_met: bool,
    json: bool,
) -> u8 {
    if json {
        println!("{}", serde_json::to_string_pretty(outcome).unwrap_or_default());
    } else {
        print_table(rows);
        println!("{}", if is_target_met { "target met" } else { "target missed" });
    }
    if is_target_met { crate::SUCCESS } else { crate::FAILURE }
}

/// Prints a table with a column for each field of the rows.
pub fn print_table<R: Serialize>(rows: &[R]) {
    for (index, row) in rows.iter().enumerate() {
        let value = serde_json::to_value(row).unwrap_or_default();
        let Some(fields) = value.as_object() else { continue };
        if index == 0 {
            let names: Vec<String> = fields.keys().map(|name| format!("{name:>16}")).collect();
            println!("{}", names.join(" "));
        }
        let cells: Vec<String> =
            fields.values().map(|value| format!("{:>16}", format_cell(value))).collect();
        println!("{}", cells.join(" "));
    }
}

fn format_cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Number(number) if number.is_f64() => {
            format!("{:.4}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
