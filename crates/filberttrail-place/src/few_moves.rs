//! Improves a map by the moves with the highest gain per expert weight fetched.
//!
//! Each move reduces the load of the most loaded rank. Either another rank replaces one of its
//! replicated experts with an expert of the loaded rank, or the loaded rank replaces a replicated
//! expert with a lighter one, or the two ranks swap an expert. The gain of a move is the decrease
//! in the sum of a high power of the rank loads. Moves end at the target skew, at the budget, or
//! when no move gains enough.

use crate::map::{Expert, Map};
use crate::placer::{Constraints, Placer};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Placer { name: "few-moves", place: improve }
}

/// Exponent of the rank loads in the cost. A high exponent makes the largest load dominate.
const LOAD_EXPONENT: i32 = 8;
/// Minimum ratio between the load per replica of the expert that gains a replica and that of the
/// expert that gives one up.
const MIN_LOAD_RATIO: f64 = 1.12;
/// Number of most loaded ranks that are tried before the map is considered final.
const MAX_STRAGGLERS: usize = 4;
/// Minimum gain of a move per weight fetched, relative to the cost. It keeps noise in the counts
/// from moving experts.
const MIN_RELATIVE_GAIN: f64 = 1e-5;

/// Returns a better map that needs at most `constraints.max_moves` weight fetches. Replica counts
/// are adjusted first, then single experts are moved or swapped.
pub fn improve(map: &Map, popularity: &[f64], constraints: &Constraints) -> Map {
    let mut state = State::new(map, popularity);
    let mut spent = 0;
    while spent < constraints.max_moves
        && state.skew() > constraints.target_skew
        && let Some(transfer) = state.find_replica_transfer()
    {
        spent += transfer.cost();
        state.apply(transfer);
    }
    while spent < constraints.max_moves && state.skew() > constraints.target_skew {
        let left = constraints.max_moves - spent;
        let Some(best) = state.find_best_move(left) else { break };
        spent += best.cost();
        state.apply(best);
    }
    state.map
}

#[derive(Debug, Clone, Copy)]
enum Move {
    /// Puts an expert into a rank's slot, replacing an expert that has another replica.
    Replace { rank: usize, slot: usize, expert: Expert },
    /// Swaps the experts of two slots, each given as rank and slot index.
    Swap { left: (usize, usize), right: (usize, usize) },
}

impl Move {
    /// Returns the number of expert weights that the move fetches.
    fn cost(self) -> usize {
        match self {
            Self::Replace { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

struct State<'a> {
    map: Map,
    popularity: &'a [f64],
    replicas: Vec<u32>,
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    mean: f64,
}

impl<'a> State<'a> {
    fn new(map: &Map, popularity: &'a [f64]) -> Self {
        let loads = map.loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let mut holders = vec![Vec::new(); popularity.len()];
        for (rank, held) in map.ranks.iter().enumerate() {
            for expert in held {
                holders[*expert as usize].push(rank);
            }
        }
        Self { map: map.clone(), popularity, replicas: map.replicas(), holders, loads, mean }
    }

    fn skew(&self) -> f64 {
        let max_load = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { max_load / self.mean } else { 1.0 }
    }

    /// Returns the cost of a rank load, 1 for the mean load.
    fn weigh_load(&self, load: f64) -> f64 {
        (load / self.mean).powi(LOAD_EXPONENT)
    }

    fn sum_weighted_loads(&self) -> f64 {
        self.loads.iter().map(|load| self.weigh_load(*load)).sum()
    }

    /// Finds a replica to give to the expert with the highest load per replica, from the expert
    /// whose remaining replicas would carry the least. Returns `None` if the difference is too
    /// small.
    fn find_replica_transfer(&self) -> Option<Move> {
        let share = |expert: usize, replicas: u32| self.popularity[expert] / f64::from(replicas);
        let experts = 0..self.replicas.len();
        let (hottest, hottest_load) = experts
            .clone()
            .filter(|expert| self.holders[*expert].len() < self.loads.len())
            .map(|expert| (expert, share(expert, self.replicas[expert])))
            .max_by(|left, right| left.1.total_cmp(&right.1))?;
        let (donor, donor_load) = experts
            .filter(|expert| *expert != hottest && self.replicas[*expert] > 1)
            .map(|expert| (expert, share(expert, self.replicas[expert] - 1)))
            .min_by(|left, right| left.1.total_cmp(&right.1))?;
        if hottest_load < donor_load * MIN_LOAD_RATIO {
            return None;
        }
        let (expert, removed) = (hottest as Expert, donor as Expert);
        let eligible =
            self.holders[donor].iter().filter(|rank| !self.holders[hottest].contains(rank));
        let gain = |rank: &&usize| self.compute_replace_gain(**rank, removed, expert);
        let rank = *eligible.max_by(|left, right| gain(left).total_cmp(&gain(right)))?;
        let slot = self.map.ranks[rank].iter().position(|held| *held == removed)?;
        Some(Move::Replace { rank, slot, expert })
    }

    /// Finds the best move for the most loaded rank, or for one of the next ranks if there is
    /// none.
    fn find_best_move(&self, budget: usize) -> Option<Move> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).collect();
        ranks.sort_by(|left, right| self.loads[*right].total_cmp(&self.loads[*left]));
        ranks
            .into_iter()
            .take(MAX_STRAGGLERS)
            .find_map(|rank| self.find_best_move_for(rank, budget))
    }

    fn find_best_move_for(&self, straggler: usize, budget: usize) -> Option<Move> {
        let min_value = self.sum_weighted_loads() * MIN_RELATIVE_GAIN;
        let mut best: Option<(f64, Move)> = None;
        let mut consider = |gain: f64, candidate: Move| {
            let value = gain / candidate.cost() as f64;
            let better = best.as_ref().is_none_or(|(known, _)| value > *known);
            if value > min_value && better && candidate.cost() <= budget {
                best = Some((value, candidate));
            }
        };
        for (slot, expert) in self.map.ranks[straggler].iter().enumerate() {
            if self.replicas[*expert as usize] > 1 {
                let held = &self.map.ranks[straggler];
                for lighter in (0..self.map.experts).filter(|other| !held.contains(other)) {
                    let gain = self.compute_replace_gain(straggler, *expert, lighter);
                    consider(gain, Move::Replace { rank: straggler, slot, expert: lighter });
                }
            }
            for rank in (0..self.loads.len()).filter(|rank| *rank != straggler) {
                if self.loads[rank] >= self.loads[straggler] {
                    continue;
                }
                for (other_slot, other) in self.map.ranks[rank].iter().enumerate() {
                    if self.map.ranks[rank].contains(expert) {
                        continue;
                    }
                    if self.replicas[*other as usize] > 1 {
                        let gain = self.compute_replace_gain(rank, *other, *expert);
                        consider(gain, Move::Replace { rank, slot: other_slot, expert: *expert });
                    }
                    if !self.map.ranks[straggler].contains(other) {
                        let gain = self.compute_swap_gain((straggler, *expert), (rank, *other));
                        let (left, right) = ((straggler, slot), (rank, other_slot));
                        consider(gain, Move::Swap { left, right });
                    }
                }
            }
        }
        best.map(|(_, best)| best)
    }

    /// Returns the decrease in cost when `rank` holds `added` instead of `removed`.
    fn compute_replace_gain(&self, rank: usize, removed: Expert, added: Expert) -> f64 {
        let (out, into) = (removed as usize, added as usize);
        let out_before = self.popularity[out] / f64::from(self.replicas[out]);
        let out_after = self.popularity[out] / f64::from(self.replicas[out] - 1);
        let in_before = self.popularity[into] / f64::from(self.replicas[into]);
        let in_after = self.popularity[into] / f64::from(self.replicas[into] + 1);
        let change = |holder: usize, delta: f64| {
            self.weigh_load(self.loads[holder]) - self.weigh_load(self.loads[holder] + delta)
        };
        let mut gain = change(rank, in_after - out_before);
        for holder in self.holders[out].iter().filter(|holder| **holder != rank) {
            let both = self.holders[into].contains(holder);
            let delta = out_after - out_before + if both { in_after - in_before } else { 0.0 };
            gain += change(*holder, delta);
        }
        for holder in &self.holders[into] {
            if !self.holders[out].contains(holder) {
                gain += change(*holder, in_after - in_before);
            }
        }
        gain
    }

    fn compute_swap_gain(&self, left: (usize, Expert), right: (usize, Expert)) -> f64 {
        let share = |expert: Expert| {
            let index = expert as usize;
            self.popularity[index] / f64::from(self.replicas[index])
        };
        let delta = share(right.1) - share(left.1);
        let (one, other) = (self.loads[left.0], self.loads[right.0]);
        let before = self.weigh_load(one) + self.weigh_load(other);
        before - self.weigh_load(one + delta) - self.weigh_load(other - delta)
    }

    fn apply(&mut self, candidate: Move) {
        match candidate {
            Move::Replace { rank, slot, expert } => self.map.ranks[rank][slot] = expert,
            Move::Swap { left, right } => {
                let (one, other) =
                    (self.map.ranks[left.0][left.1], self.map.ranks[right.0][right.1]);
                self.map.ranks[left.0][left.1] = other;
                self.map.ranks[right.0][right.1] = one;
            }
        }
        *self = Self::new(&self.map, self.popularity);
    }
}
