//! Generates synthetic request traces for the benchmarks.
//!
//! Generated traces are committed to the repository.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// A request of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Arrival {
    /// Arrival time after the start of the trace, in microseconds at the recorded request rate.
    pub at: u64,
    /// Id of the prompt's prefix; requests with the same id share their first `shared` tokens.
    pub prefix: u32,
    /// Tokens of the shared prefix.
    pub shared: u32,
    /// Tokens of the prompt after the shared prefix.
    pub own: u32,
    /// Tokens of the response.
    pub answer: u32,
    /// Index of the entry that receives the request.
    pub entry: u32,
}

/// A recorded sequence of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Seed of the random generator that produced it.
    pub seed: u64,
    /// Requests, by arrival time.
    pub arrivals: Vec<Arrival>,
}

/// Parameters of a generated trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Number of requests.
    pub requests: usize,
    /// Number of shared prefixes; 0 gives each request a prompt of its own.
    pub prefixes: u32,
    /// Number of entries, each equally likely to receive a request.
    pub entries: u32,
    /// Mean rate of arrivals, in requests per second.
    pub rate: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self { requests: 3_000, prefixes: 96, entries: 8, rate: 100.0 }
    }
}

/// Generates a trace with Poisson arrivals and a skewed distribution of shared prefixes.
pub fn generate(name: &str, seed: u64, shape: Shape) -> Trace {
    let mut random = Rng::with_seed(seed);
    let lengths: Vec<u32> = (0..shape.prefixes).map(|_| 512 + random.u32(0..3_584)).collect();
    let mut at = 0.0;
    let arrivals = (0..shape.requests).map(|number| {
        at += -(1.0 - random.f64()).ln() / shape.rate * 1e6;
        // The cube skews the choice: low prefix ids are much more frequent than high ones.
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
