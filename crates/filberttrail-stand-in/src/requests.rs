//! Requests as the stand-in callers send them. Traces of them are recorded and committed.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// One request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Arrival {
    /// Arrival after the start, in microseconds at the trace's own pace.
    pub at: u64,
    /// The shared beginning of the prompt; requests with the same one share their first tokens.
    pub prefix: u32,
    /// Tokens of the shared beginning.
    pub shared: u32,
    /// Tokens of the prompt that are its own.
    pub own: u32,
    /// Tokens of the answer.
    pub answer: u32,
    /// The entry that gets it.
    pub entry: u32,
}

/// Requests in the order of their arrival.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trace {
    /// What the trace is.
    pub name: String,
    /// The seed that it was recorded with.
    pub seed: u64,
    /// The requests.
    pub arrivals: Vec<Arrival>,
}

/// How a trace is recorded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Requests.
    pub requests: usize,
    /// Shared beginnings; zero for none.
    pub prefixes: u32,
    /// Entries.
    pub entries: u32,
    /// Requests a second.
    pub rate: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self { requests: 3_000, prefixes: 96, entries: 8, rate: 100.0 }
    }
}

/// Records a trace.
pub fn record(name: &str, seed: u64, shape: Shape) -> Trace {
    let mut random = Rng::with_seed(seed);
    let lengths: Vec<u32> = (0..shape.prefixes).map(|_| 512 + random.u32(0..3_584)).collect();
    let mut at = 0.0;
    let arrivals = (0..shape.requests).map(|number| {
        at += -(1.0 - random.f64()).ln() / shape.rate * 1e6;
        // A few beginnings are asked for much more often than the rest.
        let skewed = random.f64().powi(3) * f64::from(shape.prefixes);
        let (prefix, shared) = match shape.prefixes {
            0 => (number as u32, 0),
            _ => (skewed as u32, lengths[skewed as usize]),
        };
        let own = match shape.prefixes {
            0 => 256 + random.u32(0..2_048),
            _ => 32 + random.u32(0..256),
        };
        let answer = 16 + random.u32(0..224);
        let entry = random.u32(0..shape.entries);
        Arrival { at: at as u64, prefix, shared, own, answer, entry }
    });
    Trace { name: name.to_string(), seed, arrivals: arrivals.collect() }
}
