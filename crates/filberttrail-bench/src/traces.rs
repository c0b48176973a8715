//! The recorded traces: one set for development (`develop`), one held out for comparison
//! (`compare`).

use filberttrail_kernel::{Error, Result};
use filberttrail_stand_in::{popularity, requests};

const POPULARITY: [&str; 2] = [
    include_str!("../../../samples/traces/popularity-develop.json"),
    include_str!("../../../samples/traces/popularity-compare.json"),
];
const REQUESTS: [&str; 4] = [
    include_str!("../../../samples/traces/requests-shared-develop.json"),
    include_str!("../../../samples/traces/requests-shared-compare.json"),
    include_str!("../../../samples/traces/requests-own-develop.json"),
    include_str!("../../../samples/traces/requests-own-compare.json"),
];

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| {
        Error::declaration("recorded trace", error, "record it again with 'bench record'").into()
    })
}

/// Reads the recorded traces of expert popularity; returns an error if one does not parse.
pub fn popularity() -> Result<Vec<popularity::Trace>> {
    POPULARITY.into_iter().map(parse).collect()
}

/// Reads the recorded traces of requests: two with shared prefixes, two without. Returns an error
/// if one does not parse.
pub fn requests() -> Result<Vec<requests::Trace>> {
    REQUESTS.into_iter().map(parse).collect()
}

/// Generates all traces that are recorded; returns pairs of a file name without extension and its
/// JSON text.
pub fn record_all() -> Vec<(String, String)> {
    let mut files = Vec::new();
    for (set, seed) in [("develop", 101), ("compare", 202)] {
        let name = format!("popularity-{set}");
        let trace = popularity::generate(&name, seed, 128);
        files.push((name, serde_json::to_string(&trace).unwrap_or_default()));
        for (kind, prefixes) in [("shared", 96), ("own", 0)] {
            let name = format!("requests-{kind}-{set}");
            let shape = requests::Shape { prefixes, ..requests::Shape::default() };
            let trace = requests::generate(&name, seed, shape);
            files.push((name, serde_json::to_string(&trace).unwrap_or_default()));
        }
    }
    files
}
