//! Which upstream gets a request.
//!
//! Load pattern: lock-step groups near their limit. A pass lasts as long as its slowest rank, so the
//! emptiest slot counts first, then the evenness between groups; a group that runs slow, and an
//! upstream that fails, cost more.

use crate::Node;
use std::collections::HashMap;
use std::time::Duration;

/// What a failing upstream costs, in full batches.
const FAILING_WEIGHT: f64 = 3.0;
/// What the load of the whole group costs against the rank's own.
const GROUP_WEIGHT: f64 = 0.5;
/// What another data centre costs; decides between equals only.
const DISTANCE_WEIGHT: f64 = 0.02;
/// How far random choice spreads equals, so that entries do not all choose the same one.
const SPREAD: f64 = 0.08;
/// What a group's slower passes cost.
const GAP_WEIGHT: f64 = 0.5;

/// The pace from which on a rank gets no requests as long as sound ones are there: its own part of
/// the work makes the whole group's passes longer.
const SLOW_PACE: f64 = 1.5;

/// What a choice has to keep to.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// The service.
    pub service: &'a str,
    /// The time.
    pub now: Duration,
    /// The entry's own data centre.
    pub home: &'a str,
    /// Data centres that are out of service.
    pub outs: &'a [String],
    /// Upstreams that are not to be chosen again.
    pub tried: &'a [String],
    /// Requests that this entry may send to one upstream within a second.
    pub per_second: Option<usize>,
    /// The part of its slots up to which an upstream is filled.
    pub fill: f64,
}

/// The load of a group.
#[derive(Debug, Default, Clone, Copy)]
struct Load {
    running: u32,
    mine: u32,
    slots: u32,
    gap: f64,
    gaps: u32,
}

impl Load {
    fn part(&self) -> f64 {
        f64::from(self.running) / f64::from(self.slots.max(1))
    }

    fn gap(&self) -> Option<f64> {
        (self.gaps > 0).then(|| self.gap / f64::from(self.gaps))
    }
}

/// Chooses an upstream with a free slot, or none. `draw` gives numbers from 0 to 1.
pub fn choose<'a>(
    nodes: impl Iterator<Item = &'a mut Node>,
    terms: &Terms<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<&'a mut Node> {
    let nodes: Vec<&mut Node> = nodes
        .filter(|node| node.upstream.service == terms.service)
        .filter(|node| usable(node, terms.outs, terms.tried))
        .collect();
    let awake = nodes.iter().any(|node| !node.health.paused(terms.now));
    let sound = nodes.iter().any(|node| node.pace < SLOW_PACE);
    let groups = group_loads(&nodes);
    let least_gap = groups.values().filter_map(Load::gap).fold(f64::INFINITY, f64::min);
    let mut best: Option<(f64, &mut Node)> = None;
    for node in nodes {
        let limit = (f64::from(node.upstream.slots) * terms.fill).floor().max(1.0);
        let paced = terms.per_second.is_some_and(|most| node.sent.count(terms.now) >= most);
        let paused = awake && node.health.paused(terms.now);
        let slow = sound && node.pace >= SLOW_PACE;
        if f64::from(node.running()) >= limit || paced || paused || slow {
            continue;
        }
        let group = node.upstream.rank.as_ref().and_then(|rank| groups.get(&rank.group));
        if node.health.is_suspect() && (node.mine > 0 || group.is_some_and(|group| group.mine > 0))
        {
            continue;
        }
        let mut cost = f64::from(node.running()) / f64::from(node.upstream.slots.max(1));
        if let Some(load) = group {
            cost += GROUP_WEIGHT * load.part();
            if let Some(gap) = load.gap() {
                cost += GAP_WEIGHT * (gap / least_gap.max(f64::MIN_POSITIVE) - 1.0).min(4.0);
            }
        }
        cost += FAILING_WEIGHT * node.health.failing(terms.now);
        cost += SPREAD * draw();
        if node.upstream.data_centre != terms.home {
            cost += DISTANCE_WEIGHT;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, node));
        }
    }
    best.map(|(_, node)| node)
}

/// Returns whether an upstream may be sent a request at all.
pub fn usable(node: &Node, outs: &[String], tried: &[String]) -> bool {
    node.open()
        && !node.replaced
        && !outs.contains(&node.upstream.data_centre)
        && !tried.contains(&node.upstream.id)
}

fn group_loads(nodes: &[&mut Node]) -> HashMap<String, Load> {
    let mut groups: HashMap<String, Load> = HashMap::new();
    for node in nodes {
        let Some(rank) = &node.upstream.rank else { continue };
        let load = groups.entry(rank.group.clone()).or_default();
        load.running += node.running();
        load.mine += node.mine;
        load.slots += node.upstream.slots;
        if let Some(gap) = node.gap {
            load.gap += gap.as_secs_f64();
            load.gaps += 1;
        }
    }
    groups
}
