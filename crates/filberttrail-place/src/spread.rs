//! Spreads hot experts over ranks within the number of experts that each rank may copy for one
//! change.
//!
//! Load pattern: a few experts receive most tokens, and some seconds later other experts do. All
//! layers are optimized together, because the time of a pass is the sum over the layers of the
//! most loaded rank's time, and a rank copies the experts of all layers over one link. Each step
//! makes the move that shortens the pass most. A copy uses a free slot, or the slot of an expert
//! that has another replica.

use crate::map::{Expert, Map};

/// Exponent of the rank times in the cost. A high exponent makes the longest time dominate.
const LOAD_EXPONENT: i32 = 8;
/// Minimum reduction of a layer's cost by one move, relative to an evenly loaded layer. With a
/// higher minimum, stable maps stay further above a full repack than the target of 5%.
const MIN_GAIN: f64 = 0.002;

/// Constraints on a change of the maps of all layers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Number of expert slots per rank in each layer.
    pub slots: usize,
    /// Maximum number of experts that a rank may copy in one layer.
    pub copies_per_layer: usize,
    /// Maximum number of experts that a rank may copy in all layers together.
    pub copies_per_rank: usize,
}

/// Slowdown factor of each rank: the time for the same work relative to a healthy rank, 1 or more.
/// Ranks without an element count as healthy.
pub type Slowdowns<'a> = &'a [f64];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    /// A rank copies an expert, which replaces another one if the rank's slots are full.
    Copy { rank: usize, expert: Expert, evicted: Option<Expert> },
    /// A rank removes an expert that other ranks also hold.
    Drop { rank: usize, expert: Expert },
}

#[derive(Debug, Clone, Copy)]
struct Move {
    change: Change,
    gain: f64,
}

/// Returns the time of a pass: the sum over the layers of the longest rank time, in units of the
/// time that a layer takes when all ranks are healthy and evenly loaded.
pub fn compute_pass_time(maps: &[Map], popularity: &[Vec<f64>], slowdowns: Slowdowns<'_>) -> f64 {
    let layer = |(map, popularity): (&Map, &Vec<f64>)| {
        let loads = compute_rank_times(map, popularity, slowdowns);
        let even_load = popularity.iter().sum::<f64>() / map.ranks.len().max(1) as f64;
        loads.into_iter().fold(0.0, f64::max) / even_load.max(f64::MIN_POSITIVE)
    };
    maps.iter().zip(popularity).map(layer).sum()
}

/// Computes better maps for all layers. The slices have one element per layer.
pub fn spread(
    maps: &[Map],
    popularity: &[Vec<f64>],
    slowdowns: Slowdowns<'_>,
    constraints: &Constraints,
) -> Vec<Map> {
    let mut maps = maps.to_vec();
    let ranks = maps.first().map_or(0, |map| map.ranks.len());
    let mut copy_counts = vec![0; ranks];
    let mut copied_experts: Vec<Vec<Vec<Expert>>> = vec![vec![Vec::new(); ranks]; maps.len()];
    let find_best =
        |layer: usize, maps: &[Map], copy_counts: &[usize], copied_experts: &[Vec<Expert>]| {
            Layer {
                map: &maps[layer],
                popularity: &popularity[layer],
                slowdowns,
                constraints,
                copy_counts,
                copied_experts,
            }
            .find_best_move()
        };
    let mut best_moves: Vec<Option<Move>> = (0..maps.len())
        .map(|layer| find_best(layer, &maps, &copy_counts, &copied_experts[layer]))
        .collect();
    loop {
        let moves =
            best_moves.iter().enumerate().filter_map(|(layer, best)| Some((layer, (*best)?)));
        let Some((layer, next)) = moves.max_by(|one, other| one.1.gain.total_cmp(&other.1.gain))
        else {
            return maps;
        };
        apply(&mut maps[layer], next.change);
        let mut full_rank = None;
        if let Change::Copy { rank, expert, .. } = next.change {
            copy_counts[rank] += 1;
            copied_experts[layer][rank].push(expert);
            full_rank = (copy_counts[rank] >= constraints.copies_per_rank).then_some(rank);
        }
        for other in 0..maps.len() {
            let stale = best_moves[other].is_some_and(|best| match best.change {
                Change::Copy { rank, .. } => Some(rank) == full_rank,
                Change::Drop { .. } => false,
            });
            if other == layer || stale {
                best_moves[other] = find_best(other, &maps, &copy_counts, &copied_experts[other]);
            }
        }
    }
}

fn apply(map: &mut Map, change: Change) {
    match change {
        Change::Copy { rank, expert, evicted } => {
            let held = &mut map.ranks[rank];
            match evicted.and_then(|evicted| held.iter().position(|held| *held == evicted)) {
                Some(slot) => held[slot] = expert,
                None => held.push(expert),
            }
        }
        Change::Drop { rank, expert } => map.ranks[rank].retain(|held| *held != expert),
    }
}

fn compute_rank_times(map: &Map, popularity: &[f64], slowdowns: Slowdowns<'_>) -> Vec<f64> {
    let loads = map.loads(popularity).into_iter().enumerate();
    loads.map(|(rank, load)| load * slowdowns.get(rank).copied().unwrap_or(1.0)).collect()
}

/// The state of one layer during the search for its next map.
struct Layer<'a> {
    map: &'a Map,
    popularity: &'a [f64],
    slowdowns: Slowdowns<'a>,
    constraints: &'a Constraints,
    copy_counts: &'a [usize],
    copied_experts: &'a [Vec<Expert>],
}

impl Layer<'_> {
    /// Finds the move that most reduces the cost by relieving the slowest rank.
    fn find_best_move(&self) -> Option<Move> {
        let replicas = self.map.replicas();
        let loads = self.map.loads(self.popularity);
        let rank_times = compute_rank_times(self.map, self.popularity, self.slowdowns);
        let straggler = (0..rank_times.len())
            .max_by(|one, other| rank_times[*one].total_cmp(&rank_times[*other]))?;
        let before = self.estimate_longest_time(&loads)?;
        let mut best: Option<Move> = None;
        let mut consider = |loads: &[f64], change: Change| {
            let Some(after) = self.estimate_longest_time(loads) else { return };
            let gain = before - after;
            if gain > MIN_GAIN && best.is_none_or(|best| gain > best.gain) {
                best = Some(Move { change, gain });
            }
        };
        for expert in &self.map.ranks[straggler] {
            let copies = replicas[*expert as usize];
            if copies > 1 {
                let mut loads = loads.clone();
                self.rescale_holder_loads(&mut loads, *expert, copies, copies - 1);
                loads[straggler] -= self.compute_replica_load(*expert, copies - 1);
                consider(&loads, Change::Drop { rank: straggler, expert: *expert });
            }
            let mut added = loads.clone();
            self.rescale_holder_loads(&mut added, *expert, copies, copies + 1);
            for rank in (0..loads.len()).filter(|rank| self.can_copy(*rank, *expert)) {
                let mut loads = added.clone();
                loads[rank] += self.compute_replica_load(*expert, copies + 1);
                if self.map.ranks[rank].len() < self.constraints.slots {
                    consider(&loads, Change::Copy { rank, expert: *expert, evicted: None });
                    continue;
                }
                for evicted in self.list_evictable(rank, &replicas) {
                    let mut loads = loads.clone();
                    let copies = replicas[evicted as usize];
                    self.rescale_holder_loads(&mut loads, evicted, copies, copies - 1);
                    loads[rank] -= self.compute_replica_load(evicted, copies - 1);
                    let evicted = Some(evicted);
                    consider(&loads, Change::Copy { rank, expert: *expert, evicted });
                }
            }
        }
        best
    }

    /// Returns the experts of a rank that have other replicas and were not copied by this change.
    fn list_evictable(&self, rank: usize, replicas: &[u32]) -> impl Iterator<Item = Expert> {
        let copied_experts = &self.copied_experts[rank];
        let held = self.map.ranks[rank].iter().copied();
        held.filter(move |expert| {
            replicas[*expert as usize] > 1 && !copied_experts.contains(expert)
        })
    }

    fn can_copy(&self, rank: usize, expert: Expert) -> bool {
        self.copy_counts[rank] < self.constraints.copies_per_rank
            && self.copied_experts[rank].len() < self.constraints.copies_per_layer
            && !self.map.ranks[rank].contains(&expert)
    }

    fn compute_replica_load(&self, expert: Expert, copies: u32) -> f64 {
        self.popularity[expert as usize] / f64::from(copies.max(1))
    }

    /// Updates the loads of an expert's holders for a change in its number of replicas.
    fn rescale_holder_loads(&self, loads: &mut [f64], expert: Expert, from: u32, to: u32) {
        let delta = self.compute_replica_load(expert, to) - self.compute_replica_load(expert, from);
        for (rank, held) in self.map.ranks.iter().enumerate() {
            if held.contains(&expert) {
                loads[rank] += delta;
            }
        }
    }

    /// Returns a smooth approximation of the longest rank time, 1 for evenly loaded ranks; `None`
    /// if there is no load.
    fn estimate_longest_time(&self, loads: &[f64]) -> Option<f64> {
        let speed: f64 = (0..loads.len())
            .map(|rank| 1.0 / self.slowdowns.get(rank).copied().unwrap_or(1.0).max(1.0))
            .sum();
        let even_load = loads.iter().sum::<f64>() / speed;
        let time = |(rank, load): (usize, &f64)| {
            (load * self.slowdowns.get(rank).copied().unwrap_or(1.0) / even_load)
                .powi(LOAD_EXPONENT)
        };
        let sum: f64 = loads.iter().enumerate().map(time).sum();
        (even_load > 0.0).then(|| sum.powf(1.0 / f64::from(LOAD_EXPONENT)))
    }
}
