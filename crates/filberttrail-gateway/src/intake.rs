//! What upstreams say about how much they take, and what other entries tell of it.

use crate::Hub;
use crate::hub::TRANSIT_LIMIT;
use crate::id_hash::{IdHash, hash_id};
use crate::permit::Permit;
use crate::signals::Signals;
use filberttrail_fleet::intake::Limit;
use filberttrail_fleet::{Upstream, upstream};
use filberttrail_journal::journal::Priority;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::time::Duration;

/// Maximum number of leaving upstreams in a message to other entries.
const LEAVING_LIMIT: usize = 64;
/// Maximum number of limits in a message to other entries. A message tells the next ones.
const TOLD_LIMITS: usize = 16;

/// A limit that an upstream has named, in a message between entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Hash of the upstream's id.
    pub upstream: IdHash,
    /// Incarnation of the upstream.
    pub incarnation: upstream::Incarnation,
    /// Requests per second from all entries together.
    pub per_second: f32,
    /// Time in milliseconds since it was last named.
    pub age_ms: u32,
    /// Time in milliseconds since the upstream has stopped naming it, if it has.
    pub lifted_ms: Option<u32>,
}

impl Hub {
    /// Records what the response to a request that was sent at `sent_at` tells about its upstream.
    /// Ignored if another incarnation has registered in the meantime.
    pub fn record_signals(&self, permit: &Permit, sent_at: Duration, signals: Signals) {
        let now = self.now();
        let mut state = self.lock();
        let Some(candidate) = state.candidates.get_mut(&permit.id) else { return };
        if candidate.upstream.incarnation != permit.incarnation {
            return;
        }
        let intake = &mut candidate.intake;
        if let Some(pause) = signals.declines_for {
            intake.decline_until(now + pause);
        }
        let leaves = signals.leaving && !std::mem::replace(&mut intake.leaving, signals.leaving);
        let limit_changed = intake.record_named(sent_at, now, signals.limit);
        let limit = intake.limit(now);
        drop(state);
        if leaves || limit_changed || signals.declines_for.is_some() {
            let fields = json!({
                "upstream": permit.id, "leaving": signals.leaving,
                "declines_for_ms": signals.declines_for.map(|pause| pause.as_millis() as u64),
                "limit_per_s": limit.map(|limit| limit.per_second),
                "lifted": limit.is_some_and(|limit| limit.lifted_at.is_some()),
            });
            self.journal.record(Priority::Important, "upstream_signals", fields);
        }
    }

    /// Returns the upstreams that have said that they are about to stop, with their incarnations.
    pub fn leaving_upstreams(&self) -> Vec<(IdHash, upstream::Incarnation)> {
        let state = self.lock();
        let leaving = state.candidates.values().filter(|candidate| candidate.intake.leaving);
        let ids = leaving.map(|candidate| &candidate.upstream);
        ids.map(|upstream| (hash_id(&upstream.id), upstream.incarnation))
            .take(LEAVING_LIMIT)
            .collect()
    }

    /// Records which upstreams another entry knows to be about to stop.
    pub fn receive_leaving(&self, leaving: &[(IdHash, upstream::Incarnation)]) {
        if leaving.is_empty() {
            return;
        }
        for candidate in self.lock().candidates.values_mut() {
            let Upstream { id, incarnation, .. } = &candidate.upstream;
            candidate.intake.leaving |= leaving.contains(&(hash_id(id), *incarnation));
        }
    }

    /// Returns limits to tell other entries, in turn if there are many.
    pub fn told_limits(&self) -> Vec<Told> {
        let now = self.now();
        let mut state = self.lock();
        let age = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let limits = state.candidates.values().filter_map(|candidate| {
            let limit = candidate.intake.limit(now)?;
            Some(Told {
                upstream: hash_id(&candidate.upstream.id),
                incarnation: candidate.upstream.incarnation,
                per_second: limit.per_second as f32,
                age_ms: age(limit.named_at),
                lifted_ms: limit.lifted_at.map(age),
            })
        });
        let mut limits: Vec<Told> = limits.collect();
        if limits.len() > TOLD_LIMITS {
            let first = state.told_limits % limits.len();
            limits.rotate_left(first);
            limits.truncate(TOLD_LIMITS);
            state.told_limits = first + TOLD_LIMITS;
        }
        limits
    }

    /// Records limits that another entry has told.
    pub fn receive_limits(&self, limits: &[Told]) {
        let now = self.now();
        // What returns to the entry that told it must not seem newer than it was.
        let received = now.saturating_sub(TRANSIT_LIMIT);
        let ago = |age_ms: u32| received.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let mut state = self.lock();
        for told in limits {
            let valid = told.per_second.is_finite() && told.per_second >= 0.0;
            let Some(id) = state.candidate_ids.get(&told.upstream).filter(|_| valid).cloned()
            else {
                continue;
            };
            let candidate = state.candidates.get_mut(&id);
            if let Some(candidate) = candidate
                && candidate.upstream.incarnation == told.incarnation
            {
                candidate.intake.record_told(Limit {
                    per_second: f64::from(told.per_second),
                    named_at: ago(told.age_ms),
                    lifted_at: told.lifted_ms.map(ago),
                });
            }
        }
    }
}
