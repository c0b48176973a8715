//! A simulated inference engine: continuous batching, chunked prefill and a prefix cache.

use std::collections::VecDeque;

/// Base time of a step, in seconds.
const STEP: f64 = 0.012;
/// Time that each decoding sequence adds to a step, in seconds.
const STEP_EACH: f64 = 0.000_3;
/// Time to prefill one prompt token, in seconds.
const PREFILL: f64 = 50e-6;
/// Maximum number of prompt tokens prefilled in one step.
const CHUNK: u32 = 1_024;
/// Maximum number of requests in a batch.
pub const BATCH: usize = 48;
/// Capacity of the prefix cache, in prompt tokens.
const CACHE: u32 = 40_000;

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the request in the trace.
    pub index: usize,
    /// Prompt tokens that still have to be prefilled.
    pub prompt: u32,
    /// Output tokens that still have to be generated.
    pub answer: u32,
    /// When the latest token was generated, in seconds; the start of the request before the first
    /// one.
    pub last: f64,
    /// Arrival time, in seconds.
    pub arrived: f64,
    /// Time from the arrival to the first token, in seconds, once there is one.
    pub first: Option<f64>,
    /// The longest gap between two consecutive tokens, in seconds.
    pub gap: f64,
}

/// The state of one engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Requests that wait for a place in the batch.
    pub waiting: VecDeque<Job>,
    /// Requests in the batch.
    pub running: Vec<Job>,
    /// When the current step ends, in seconds.
    pub busy_until: f64,
    /// Time spent on prefill and decoding without the base time of steps, in seconds.
    pub work: f64,
    cache: VecDeque<(u32, u32)>,
}

impl Engine {
    /// Returns the cached tokens of a prefix, and adds the prefix to the cache.
    pub fn look_up(&mut self, prefix: u32, tokens: u32) -> u32 {
        let hit = self.cache.iter().position(|(known, _)| *known == prefix);
        if let Some(place) = hit {
            self.cache.remove(place);
        }
        self.cache.push_back((prefix, tokens));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE {
            self.cache.pop_front();
        }
        if hit.is_some() { tokens } else { 0 }
    }

    /// Returns the number of waiting and running requests.
    pub fn in_flight(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    /// Runs one step that starts at `now`, and returns the requests that it completes.
    pub fn step(&mut self, now: f64) -> Vec<Job> {
        while self.running.len() < BATCH
            && let Some(job) = self.waiting.pop_front()
        {
            self.running.push(job);
        }
        let mut left = CHUNK;
        let mut computed = 0;
        for job in &mut self.running {
            let part = job.prompt.min(left);
            job.prompt -= part;
            left -= part;
            computed += part;
        }
        let writers = self.running.iter().filter(|job| job.prompt == 0).count();
        let time = STEP + STEP_EACH * writers as f64 + PREFILL * f64::from(computed);
        self.busy_until = now + time;
        self.work += f64::from(computed) * PREFILL + writers as f64 * STEP_EACH;
        let end = self.busy_until;
        for job in self.running.iter_mut().filter(|job| job.prompt == 0) {
            match job.first {
                None => job.first = Some(end - job.arrived),
                Some(_) => job.gap = job.gap.max(end - job.last),
            }
            job.last = end;
            job.answer = job.answer.saturating_sub(1);
        }
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.prompt == 0 && job.answer == 0);
        self.running = running;
        done
    }
}
