//! Spreads hot experts over ranks within the number of experts that each rank may copy for one
//! change.
//!
//! Load pattern: a few experts receive most tokens, and some seconds later other experts do. All
//! layers are optimized together, because the time of a pass is the sum over the layers of the
//! most loaded rank's time, and a rank copies the experts of all layers over one link. Each step
//! makes the move that shortens the pass most. A copy uses a free slot, or the slot of an expert
//! that has another replica.

use crate::map::{Expert, Map};
use crate::rank_times::{self, RankTimes};

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
    /// Finds the move that most reduces the cost by relieving the slowest rank. `None` if no move
    /// reduces it enough, or if there is no load.
    fn find_best_move(&self) -> Option<Move> {
        let holders = self.map.holders();
        let times = RankTimes::new(self.map, self.popularity, self.slowdowns)?;
        let straggler = times.find_straggler()?;
        let before = rank_times::estimate_longest(times.power_sum());
        let mut best: Option<(f64, Change)> = None;
        let mut consider = |power_sum: f64, change: Change| {
            if best.is_none_or(|(least, _)| power_sum < least) {
                best = Some((power_sum, change));
            }
        };
        for &expert in &self.map.ranks[straggler] {
            let expert_holders = &holders[expert as usize];
            let copies = expert_holders.len();
            if copies > 1 {
                let mut dropped = times.power_sum();
                for &rank in expert_holders {
                    let change = match rank == straggler {
                        true => -self.share(expert, copies),
                        false => self.share(expert, copies - 1) - self.share(expert, copies),
                    };
                    dropped += times.power_difference(rank, change);
                }
                consider(dropped, Change::Drop { rank: straggler, expert });
            }
            let relief = self.share(expert, copies + 1) - self.share(expert, copies);
            let mut relieved = times.clone();
            for &rank in expert_holders {
                relieved.add(rank, relief);
            }
            for rank in (0..relieved.len()).filter(|rank| self.can_copy(*rank, expert)) {
                let gained = self.share(expert, copies + 1);
                if self.map.ranks[rank].len() < self.constraints.slots {
                    let sum = relieved.power_sum() + relieved.power_difference(rank, gained);
                    consider(sum, Change::Copy { rank, expert, evicted: None });
                    continue;
                }
                for evicted in self.list_evictable(rank, &holders) {
                    let evicted_holders = &holders[evicted as usize];
                    let copies = evicted_holders.len();
                    let lost = self.share(evicted, copies);
                    let spread = self.share(evicted, copies - 1) - lost;
                    let mut sum =
                        relieved.power_sum() + relieved.power_difference(rank, gained - lost);
                    for &other in evicted_holders.iter().filter(|other| **other != rank) {
                        sum += relieved.power_difference(other, spread);
                    }
                    consider(sum, Change::Copy { rank, expert, evicted: Some(evicted) });
                }
            }
        }
        let (power_sum, change) = best?;
        let gain = before - rank_times::estimate_longest(power_sum);
        (gain > MIN_GAIN).then_some(Move { change, gain })
    }

    /// Returns the experts of a rank that have other replicas and were not copied by this change.
    fn list_evictable(&self, rank: usize, holders: &[Vec<usize>]) -> impl Iterator<Item = Expert> {
        let copied_experts = &self.copied_experts[rank];
        let held = self.map.ranks[rank].iter().copied();
        held.filter(move |expert| {
            holders[*expert as usize].len() > 1 && !copied_experts.contains(expert)
        })
    }

    fn can_copy(&self, rank: usize, expert: Expert) -> bool {
        self.copy_counts[rank] < self.constraints.copies_per_rank
            && self.copied_experts[rank].len() < self.constraints.copies_per_layer
            && !self.map.ranks[rank].contains(&expert)
    }

    /// Returns the load that an expert adds to each of its holders.
    fn share(&self, expert: Expert, copies: usize) -> f64 {
        self.popularity[expert as usize] / copies.max(1) as f64
    }
}
