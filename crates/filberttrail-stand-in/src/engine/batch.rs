//! Continuous batching: the step loop, and the requests that generate words in its steps.

use super::state::{Shared, Ticket};
use std::time::Duration;
use tokio::sync::watch;

/// Runs the step loop while requests are in flight. Each step generates one word for every request
/// in the batch.
pub async fn run_steps(shared: Shared) {
    loop {
        let (idle, stall) = {
            let state = shared.lock();
            (state.in_flight == 0, state.stall)
        };
        if idle {
            shared.work.notified().await;
        }
        tokio::time::sleep(shared.settings.step + stall).await;
        if stall > Duration::ZERO {
            shared.lock().stall = Duration::ZERO;
        }
        shared.tick.send_modify(|tick| *tick += 1);
    }
}

/// The words that a request has to generate.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Index of the first word to generate; greater than 0 for a resumed stream.
    pub from: u64,
    /// Number of words of the complete response.
    pub words: u64,
}

/// A request that the engine has admitted. Dropping it removes it from the queue and the batch.
pub struct ActiveRequest {
    shared: Shared,
    restarts: watch::Receiver<u64>,
    ticks: watch::Receiver<u64>,
    /// Words of the prompt that are not in the prefix cache and have to be computed.
    uncached: u64,
    /// Incarnation of the engine that runs it.
    incarnation: u64,
    ticket: Ticket,
    in_batch: bool,
    complete: bool,
}

impl ActiveRequest {
    /// Admits a request and queues it for the batch by `priority`, highest first.
    ///
    /// Fails with the engine's own incarnation if the request is meant for another one.
    pub fn new(
        shared: Shared,
        prompt: &str,
        priority: u32,
        incarnation: Option<u64>,
    ) -> Result<Self, u64> {
        let mut restarts = shared.restarts.subscribe();
        let mut ticks = shared.tick.subscribe();
        restarts.mark_unchanged();
        ticks.mark_unchanged();
        let (uncached, incarnation) = shared.admit(prompt, incarnation)?;
        let ticket = shared.enqueue(priority);
        let (in_batch, complete) = (false, false);
        Ok(Self { shared, restarts, ticks, uncached, incarnation, ticket, in_batch, complete })
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.shared.remove(self.ticket, self.in_batch, self.incarnation);
        self.shared.finish(self.complete, self.incarnation);
    }
}

/// Generates the words of a response, one per step, and passes the index of each to `send`.
///
/// Returns whether the response is complete: it is not if the engine restarts or `send` returns
/// `false`.
pub async fn generate<S, F>(mut request: ActiveRequest, work: Work, send: S) -> bool
where
    S: Fn(u64) -> F,
    F: Future<Output = bool>,
{
    let mut prefill_steps = request.uncached.div_ceil(request.shared.settings.prefill);
    let mut next = work.from;
    while next < work.words {
        tokio::select! {
            _ = request.restarts.changed() => return false,
            _ = request.ticks.changed() => {}
        }
        request.in_batch =
            request.in_batch || request.shared.try_join_batch(request.ticket, request.incarnation);
        if !request.in_batch {
            continue;
        }
        if prefill_steps > 0 {
            prefill_steps -= 1;
            continue;
        }
        if !send(next).await {
            return false;
        }
        next += 1;
    }
    request.complete = true;
    true
}
