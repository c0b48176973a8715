//! Computes the differences between two sets of declarations.

use crate::model::Declarations;
use serde::Serialize;
use std::collections::BTreeMap;

/// An item that was added, removed or changed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// `added`, `removed` or `changed`.
    pub what: &'static str,
    /// The path of the item: `LIST/NAME`, such as `teams/north`, for an item of a list, and
    /// `initial-preset` for that single value.
    pub place: String,
    /// The item before the change, in JSON; `None` if it was added.
    pub before: Option<serde_json::Value>,
    /// The item after the change, in JSON; `None` if it was removed.
    pub after: Option<serde_json::Value>,
}

/// Returns the changes between two sets of declarations, sorted by path.
pub fn diff(before: &Declarations, after: &Declarations) -> Vec<Change> {
    compare(flatten(before), flatten(after))
}

/// Returns the changes between two sets of items by path, sorted by path.
pub fn compare(
    mut old: BTreeMap<String, serde_json::Value>,
    new: BTreeMap<String, serde_json::Value>,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for (place, after) in new {
        let before = old.remove(&place);
        if before.as_ref() == Some(&after) {
            continue;
        }
        let what = if before.is_some() { "changed" } else { "added" };
        changes.push(Change { what, place, before, after: Some(after) });
    }
    for (place, before) in old {
        changes.push(Change { what: "removed", place, before: Some(before), after: None });
    }
    changes.sort_by(|left, right| left.place.cmp(&right.place));
    changes
}

/// Returns the items of all lists and the initial preset, by path.
fn flatten(declarations: &Declarations) -> BTreeMap<String, serde_json::Value> {
    let mut flat = BTreeMap::new();
    let estate = &declarations.estate;
    flat.insert("initial-preset".to_string(), estate.initial_preset.clone().into());
    flatten_list(&mut flat, "data-centres", &estate.data_centres, |item| &item.name);
    flatten_list(&mut flat, "groups", &estate.groups, |item| &item.name);
    flatten_list(&mut flat, "services", &estate.services, |item| &item.name);
    flatten_list(&mut flat, "upstreams", &estate.upstreams, |item| &item.name);
    flatten_list(&mut flat, "presets", &estate.presets, |item| &item.name);
    flatten_list(&mut flat, "teams", &declarations.teams, |item| &item.name);
    flat
}

/// Adds the items of a list under the paths `LIST/NAME`.
fn flatten_list<T: Serialize>(
    into: &mut BTreeMap<String, serde_json::Value>,
    list: &str,
    items: &[T],
    name: impl Fn(&T) -> &String,
) {
    for item in items {
        let value = serde_json::to_value(item).unwrap_or_default();
        into.insert(format!("{list}/{}", name(item)), value);
    }
}
