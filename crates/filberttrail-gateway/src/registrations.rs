//! The registrations of upstreams, and what their changes tell of upstreams that have ended.

use crate::Hub;
use crate::hub::LAPSE_GRACE;
use crate::state::{Departure, State};
use crate::target::Target;
use filberttrail_fleet::blame::{Report, Reserve};
use filberttrail_fleet::upstream::{self, Upstream};
use filberttrail_fleet::{Candidate, balance};
use filberttrail_journal::journal::Priority;
use serde_json::json;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Age up to which a crash that another entry reports is news of an upstream. Its registration lapses
/// or changes within that time.
const CRASH_NEWS_LIFETIME: Duration = Duration::from_secs(4);

impl Hub {
    /// Replaces all registrations and removes the upstreams that are not among them.
    pub fn set_upstreams(&self, upstreams: Vec<Upstream>) {
        let present: HashSet<upstream::Id> =
            upstreams.iter().map(|upstream| upstream.id.clone()).collect();
        for upstream in upstreams {
            if !self.is_reverted(&upstream) {
                self.set_upstream(upstream);
            }
        }
        let mut state = self.lock();
        state.upstreams_known = true;
        let removed_ids: Vec<upstream::Id> =
            state.candidates.keys().filter(|id| !present.contains(*id)).cloned().collect();
        drop(state);
        for id in removed_ids {
            self.remove_upstream(&id);
        }
        self.request_dispatch();
    }

    /// Returns whether a listed registration is one that a restored store holds from before the
    /// upstream started to drain or left.
    fn is_reverted(&self, upstream: &Upstream) -> bool {
        let state = self.lock();
        if state.restored_at.is_none() {
            return false;
        }
        let departed = state.departed.get(&upstream.id);
        let draining = state.candidates.get(&upstream.id).is_some_and(|candidate| {
            let known = &candidate.upstream;
            known.incarnation == upstream.incarnation
                && known.state == upstream::State::Draining
                && upstream.state == upstream::State::Ready
        });
        draining || departed.is_some_and(|departure| departure.incarnation == upstream.incarnation)
    }

    /// Adds or updates a registration.
    pub fn set_upstream(&self, upstream: Upstream) {
        let mut state = self.lock();
        let fields = json!({
            "upstream": upstream.id,
            "address": upstream.address.to_string(),
            "state": format!("{:?}", upstream.state),
            "born": upstream.incarnation,
            "rank": upstream.rank.as_ref().map(|rank| {
                json!({
                    "group": rank.group, "epoch": rank.epoch, "number": rank.number,
                    "open": rank.open,
                })
            }),
        });
        let slowdown = state.slowdowns.get(&upstream.address).copied().unwrap_or(1.0);
        let ended = find_ended(&state, &upstream);
        match state.candidates.get_mut(&upstream.id) {
            None => {
                let mut candidate = Candidate::new(upstream);
                candidate.slowdown = slowdown;
                state.insert_candidate(candidate);
                self.update_subsets(&mut state);
            }
            Some(candidate) => {
                candidate.missing = false;
                if candidate.upstream == upstream {
                    return;
                }
                if candidate.upstream.incarnation != upstream.incarnation
                    || candidate.upstream.address != upstream.address
                {
                    self.pool.close_idle(candidate.upstream.address);
                }
                candidate.update(upstream);
            }
        }
        drop(state);
        self.journal.record(Priority::Important, "upstream", fields);
        for (id, incarnation) in ended {
            self.blame.record_end(&id, incarnation);
        }
        self.request_dispatch();
    }

    /// Removes an upstream whose registration disappeared. While the store is unavailable and
    /// shortly after, the upstream is only marked as missing, because its registration may come
    /// back.
    pub fn remove_upstream(&self, id: &str) {
        let now = self.now();
        let mut state = self.lock();
        let kind = self.interface.upstreams;
        let unreliable = state.unavailable_kinds.contains(kind)
            || now < state.upstreams_regained_at + LAPSE_GRACE;
        let Some(candidate) = state.candidates.get_mut(id) else { return };
        let planned = candidate.is_leaving();
        let Upstream { address, incarnation, .. } = candidate.upstream;
        if unreliable {
            candidate.missing = true;
        } else {
            state.remove_candidate(id);
            state.departed.insert(id.to_string(), Departure { incarnation, at: now, planned });
            self.pool.close_idle(address);
        }
        drop(state);
        let fields = json!({ "upstream": id, "kept": unreliable });
        self.journal.record(Priority::Important, "upstream_gone", fields);
        if !unreliable && !planned {
            self.blame.record_end(id, incarnation);
        }
    }

    /// Returns whether what is known of the registrations shows that an incarnation has ended other
    /// than by a planned departure.
    pub(crate) fn has_ended(&self, target: &Target) -> bool {
        let state = self.lock();
        let incarnation = target.incarnation;
        if let Some(candidate) = state.candidates.get(&target.id) {
            let mut others = state.candidates.values();
            let replaced = candidate.replaced
                || candidate.upstream.incarnation != incarnation
                || others.any(|other| {
                    other.upstream.address == target.address && other.upstream.id != target.id
                });
            return replaced && !candidate.is_leaving();
        }
        let departure = state.departed.get(&target.id);
        departure
            .is_some_and(|departure| departure.incarnation == incarnation && !departure.planned)
    }

    /// Pauses the upstreams that another entry reports to have crashed.
    pub(crate) fn pause_crashed(&self, report: &Report) {
        if report.accused.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        for (_, upstream, incarnation, age_ms, _) in &report.accused {
            let Some(id) = state.candidate_ids.get(upstream).cloned() else { continue };
            let Some(candidate) = state.candidates.get_mut(&id) else { continue };
            let is_new = candidate.upstream.incarnation == *incarnation
                && Duration::from_millis(*age_ms) < CRASH_NEWS_LIFETIME
                && !candidate.health.is_suspect();
            if is_new {
                candidate.health.pause(now);
            }
        }
    }

    /// Returns whether an upstream of a service could take a request.
    pub(crate) fn is_up(&self, service: &str) -> bool {
        let state = self.lock();
        state.candidates.values().any(|candidate| {
            candidate.upstream.service == service && balance::is_usable(candidate, &state.outs, &[])
        })
    }

    /// Returns the upstreams of a service that get no suspects now.
    pub(crate) fn reserved_upstreams(&self, service: &str) -> Vec<upstream::Id> {
        let now = self.now();
        let state = self.lock();
        let members = state.candidates.values().filter(|candidate| {
            let Upstream { service: own, data_centre, .. } = &candidate.upstream;
            let registered = !candidate.is_leaving() && !candidate.replaced && candidate.in_subset;
            own == service && registered && !state.outs.contains(data_centre)
        });
        let mut places = BTreeMap::new();
        for candidate in members.clone() {
            let Candidate { health, .. } = candidate;
            let up = candidate.accepts_requests() && !health.is_paused(now) && !health.is_suspect();
            *places.entry(place_of(candidate)).or_default() |= up;
        }
        let reserve = Reserve::choose(&places);
        let is_reserved = |candidate: &&Candidate| match reserve {
            Reserve::Nothing => false,
            Reserve::Place(place) => place_of(candidate) == place,
            Reserve::Everything => true,
        };
        members.filter(is_reserved).map(|candidate| candidate.upstream.id.clone()).collect()
    }
}

/// Returns what ends as a whole: the lock-step group of an upstream, or else the upstream.
fn place_of(candidate: &Candidate) -> &str {
    let Upstream { id, rank, .. } = &candidate.upstream;
    rank.as_ref().map_or(id, |rank| &rank.group)
}

/// Returns the incarnations that a new registration shows to have ended: those with its id or its
/// address, other than planned departures.
fn find_ended(state: &State, registered: &Upstream) -> Vec<(upstream::Id, upstream::Incarnation)> {
    let has_ended = |known: &&Candidate| {
        let Upstream { id, incarnation, address, .. } = &known.upstream;
        let same = *id == registered.id;
        let replaced = same && *incarnation != registered.incarnation
            || !same && *address == registered.address;
        replaced && !known.is_leaving()
    };
    let ended = state.candidates.values().filter(has_ended).map(|known| &known.upstream);
    ended.map(|known| (known.id.clone(), known.incarnation)).collect()
}
