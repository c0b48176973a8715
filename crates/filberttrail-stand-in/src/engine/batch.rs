//! The step loop, and the requests that ride on it.

use super::state::{Shared, Ticket};
use std::time::Duration;
use tokio::sync::watch;

/// Ticks while there is work; each tick gives every running request one token.
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

/// What a request asks of the batch.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// The first word to write; a resumed stream begins further on.
    pub from: u64,
    /// Words of the whole answer.
    pub words: u64,
}

/// A request that the engine has taken in; it leaves when this is dropped.
pub struct Guest {
    shared: Shared,
    lives: watch::Receiver<u64>,
    ticks: watch::Receiver<u64>,
    /// Words of the prompt that must be computed.
    compute: u64,
    ticket: Ticket,
    placed: bool,
    whole: bool,
}

impl Guest {
    /// Takes a request in; the higher `priority` gets its place first. One that is meant for another
    /// life is refused with the engine's own.
    pub fn new(
        shared: Shared,
        prompt: &str,
        priority: u32,
        life: Option<u64>,
    ) -> Result<Self, u64> {
        let mut lives = shared.lives.subscribe();
        let mut ticks = shared.tick.subscribe();
        lives.mark_unchanged();
        ticks.mark_unchanged();
        let compute = shared.begin(prompt, life)?;
        let ticket = shared.queue(priority);
        Ok(Self { shared, lives, ticks, compute, ticket, placed: false, whole: false })
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.shared.give_up(self.ticket, self.placed);
        self.shared.end(self.whole);
    }
}

/// Generates words step by step; tells whether the answer became whole.
pub async fn generate<S, F>(mut guest: Guest, work: Work, send: S) -> bool
where
    S: Fn(u64) -> F,
    F: Future<Output = bool>,
{
    let mut prefill = guest.compute.div_ceil(guest.shared.settings.prefill);
    let mut next = work.from;
    while next < work.words {
        tokio::select! {
            _ = guest.lives.changed() => return false,
            _ = guest.ticks.changed() => {}
        }
        guest.placed = guest.placed || guest.shared.place(guest.ticket);
        if !guest.placed {
            continue;
        }
        if prefill > 0 {
            prefill -= 1;
            continue;
        }
        if !send(next).await {
            return false;
        }
        next += 1;
    }
    guest.whole = true;
    true
}
