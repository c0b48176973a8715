//! Load balancing: chooses the upstream for a request.
//!
//! The load pattern it is built for is lock-step groups near their limit. In a lock-step group all
//! ranks run each forward pass together, so a pass takes as long as its slowest rank needs. The
//! cost of a rank is therefore its own utilisation first and that of its group second. Groups with
//! slow passes and upstreams with failures cost more.

use crate::{Candidate, upstream};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Cost of an upstream that fails all its requests, in units of a full batch.
const FAILURE_WEIGHT: f64 = 3.0;
/// Weight of the utilisation of the whole group relative to the rank's own.
const GROUP_WEIGHT: f64 = 0.5;
/// Cost of an upstream in another data centre. It is small, so it decides only between upstreams
/// that are otherwise equal.
const DISTANCE_WEIGHT: f64 = 0.02;
/// Range of the random cost that is added, so that entries do not all choose the same upstream.
const JITTER: f64 = 0.08;
/// Weight of a group's longer interval between events, which shows slower passes.
const EVENT_INTERVAL_WEIGHT: f64 = 0.5;

/// Slowdown from which a rank gets no requests while any rank runs at full speed: the work of a
/// slow rank lengthens the passes of its whole group.
const SLOW_THRESHOLD: f64 = 1.5;

/// The constraints on a choice.
#[derive(Debug, Clone, Copy)]
pub struct Constraints<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Current time.
    pub now: Duration,
    /// Data centre of this entry.
    pub local_data_centre: &'a str,
    /// Data centres that are out of service.
    pub outs: &'a [String],
    /// Ids of the upstreams that must not be chosen again.
    pub tried: &'a [String],
    /// Number of entries that share the limits that upstreams name.
    pub entries: usize,
    /// Limit on the requests that this entry sends to one upstream within a second.
    pub max_sends_per_second: Option<usize>,
    /// Fraction of its slots up to which an upstream is filled.
    pub max_utilisation: f64,
}

/// Total load of a lock-step group.
#[derive(Debug, Default, Clone, Copy)]
struct Load {
    in_flight: u32,
    own_requests: u32,
    slots: u32,
    interval_sum: f64,
    interval_count: u32,
}

impl Load {
    fn utilisation(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    fn mean_interval(&self) -> Option<f64> {
        (self.interval_count > 0).then(|| self.interval_sum / f64::from(self.interval_count))
    }
}

/// Returns the upstream with the lowest cost among those with a free slot, if any. `draw` returns
/// uniformly random numbers from 0 to 1.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a mut Candidate>,
    constraints: &Constraints<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<&'a mut Candidate> {
    let Constraints { now, entries, .. } = *constraints;
    let candidates: Vec<&mut Candidate> = candidates
        .filter(|candidate| candidate.upstream.service == constraints.service)
        .filter(|candidate| is_usable(candidate, constraints.outs, constraints.tried))
        .filter_map(|candidate| candidate.intake.is_open(now, entries).then_some(candidate))
        .collect();
    let any_unpaused =
        candidates.iter().any(|candidate| !candidate.health.is_paused(constraints.now));
    let any_full_speed = candidates.iter().any(|candidate| candidate.slowdown < SLOW_THRESHOLD);
    let groups = sum_group_loads(&candidates);
    let shortest_interval =
        groups.values().filter_map(Load::mean_interval).fold(f64::INFINITY, f64::min);
    let mut best: Option<(f64, &mut Candidate)> = None;
    for candidate in candidates {
        let limit =
            (f64::from(candidate.upstream.slots) * constraints.max_utilisation).floor().max(1.0);
        let rate_limited = constraints
            .max_sends_per_second
            .is_some_and(|limit| candidate.recent_sends.count(constraints.now) >= limit);
        let is_paused = any_unpaused && candidate.health.is_paused(constraints.now);
        let slow = any_full_speed && candidate.slowdown >= SLOW_THRESHOLD;
        if f64::from(candidate.count_in_flight()) >= limit || rate_limited || is_paused || slow {
            continue;
        }
        let group = candidate.upstream.rank.as_ref().and_then(|rank| groups.get(&rank.group));
        if candidate.health.is_suspect()
            && (candidate.own_requests > 0 || group.is_some_and(|group| group.own_requests > 0))
        {
            continue;
        }
        let mut cost =
            f64::from(candidate.count_in_flight()) / f64::from(candidate.upstream.slots.max(1));
        if let Some(load) = group {
            cost += GROUP_WEIGHT * load.utilisation();
            if let Some(interval) = load.mean_interval() {
                cost += EVENT_INTERVAL_WEIGHT
                    * (interval / shortest_interval.max(f64::MIN_POSITIVE) - 1.0).min(4.0);
            }
        }
        cost += FAILURE_WEIGHT * candidate.health.failure_rate(constraints.now);
        cost += JITTER * draw();
        if candidate.upstream.data_centre != constraints.local_data_centre {
            cost += DISTANCE_WEIGHT;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns whether requests may be sent to an upstream, whatever its load.
pub fn is_usable(candidate: &Candidate, outs: &[String], tried: &[String]) -> bool {
    candidate.accepts_requests()
        && candidate.in_subset
        && !candidate.replaced
        && !outs.contains(&candidate.upstream.data_centre)
        && !tried.contains(&candidate.upstream.id)
}

/// Returns whether an upstream that sent nothing for `silence` belongs to a group of which no other
/// rank sent anything either, and no usable upstream outside of the group offers the service.
///
/// The load pattern it is built for is a service that is one lock-step group: a rank that is cut
/// off stalls all streams, and moving them to other ranks would repeat their prompts in vain. If
/// other ranks go on, only the path to this one is broken, and moving helps.
pub fn is_group_stalled(
    candidates: &BTreeMap<upstream::Id, Candidate>,
    id: &str,
    outs: &[String],
    now: Duration,
    silence: Duration,
) -> bool {
    let Some(silent) = candidates.get(id) else { return false };
    let Some(group) = silent.upstream.rank.as_ref().map(|rank| &rank.group) else { return false };
    let is_member = |candidate: &Candidate| {
        candidate.upstream.rank.as_ref().is_some_and(|rank| rank.group == *group)
    };
    let same_service = candidates
        .values()
        .filter(|candidate| candidate.upstream.service == silent.upstream.service);
    let elsewhere = same_service
        .clone()
        .any(|candidate| !is_member(candidate) && is_usable(candidate, outs, &[]));
    let sent_lately =
        |candidate: &Candidate| candidate.last_event.is_some_and(|at| now < at + silence / 2);
    let others =
        same_service.filter(|candidate| is_member(candidate) && candidate.upstream.id != id);
    let observed = others.clone().any(|candidate| candidate.own_requests > 0);
    observed && !elsewhere && !others.into_iter().any(sent_lately)
}

fn sum_group_loads(candidates: &[&mut Candidate]) -> HashMap<String, Load> {
    let mut groups: HashMap<String, Load> = HashMap::new();
    for candidate in candidates {
        let Some(rank) = &candidate.upstream.rank else { continue };
        let load = groups.entry(rank.group.clone()).or_default();
        load.in_flight += candidate.count_in_flight();
        load.own_requests += candidate.own_requests;
        load.slots += candidate.upstream.slots;
        if let Some(interval) = candidate.event_interval {
            load.interval_sum += interval.as_secs_f64();
            load.interval_count += 1;
        }
    }
    groups
}
