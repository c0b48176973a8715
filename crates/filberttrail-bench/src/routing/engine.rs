//! A simulated inference engine: continuous batching, chunked prefill and a prefix cache.

use std::collections::VecDeque;

/// Base time of a step, in seconds.
const STEP_TIME: f64 = 0.012;
/// Time that each decoding sequence adds to a step, in seconds.
const STEP_TIME_PER_SEQUENCE: f64 = 0.000_3;
/// Time to prefill one prompt token, in seconds.
const PREFILL_TIME_PER_TOKEN: f64 = 50e-6;
/// Maximum number of prompt tokens prefilled in one step.
const MAX_PREFILL_TOKENS: u32 = 1_024;
/// Maximum number of requests in a batch.
pub const MAX_BATCH: usize = 48;
/// Capacity of the prefix cache, in prompt tokens.
const CACHE_TOKENS: u32 = 40_000;

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the request in the trace.
    pub index: usize,
    /// Prompt tokens that still have to be prefilled.
    pub prompt_left: u32,
    /// Output tokens that still have to be generated.
    pub output_left: u32,
    /// When the latest token was generated, in seconds; the start of the request before the first
    /// one.
    pub last_token_at: f64,
    /// Arrival time, in seconds.
    pub arrived_at: f64,
    /// Time from the arrival to the first token, in seconds, once there is one.
    pub time_to_first_token: Option<f64>,
    /// The longest gap between two consecutive tokens, in seconds.
    pub longest_gap: f64,
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
        if let Some(position) = hit {
            self.cache.remove(position);
        }
        self.cache.push_back((prefix, tokens));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE_TOKENS {
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
        while self.running.len() < MAX_BATCH
            && let Some(job) = self.waiting.pop_front()
        {
            self.running.push(job);
        }
        let mut budget = MAX_PREFILL_TOKENS;
        let mut prefilled = 0;
        for job in &mut self.running {
            let chunk = job.prompt_left.min(budget);
            job.prompt_left -= chunk;
            budget -= chunk;
            prefilled += chunk;
        }
        let decoding = self.running.iter().filter(|job| job.prompt_left == 0).count();
        let duration = STEP_TIME
            + STEP_TIME_PER_SEQUENCE * decoding as f64
            + PREFILL_TIME_PER_TOKEN * f64::from(prefilled);
        self.busy_until = now + duration;
        self.work += f64::from(prefilled) * PREFILL_TIME_PER_TOKEN
            + decoding as f64 * STEP_TIME_PER_SEQUENCE;
        let end = self.busy_until;
        for job in self.running.iter_mut().filter(|job| job.prompt_left == 0) {
            match job.time_to_first_token {
                None => job.time_to_first_token = Some(end - job.arrived_at),
                Some(_) => job.longest_gap = job.longest_gap.max(end - job.last_token_at),
            }
            job.last_token_at = end;
            job.output_left = job.output_left.saturating_sub(1);
        }
        let (completed, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.prompt_left == 0 && job.output_left == 0);
        self.running = running;
        completed
    }
}
