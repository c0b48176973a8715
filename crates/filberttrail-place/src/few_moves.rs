//! Improves the map by the few moves that gain most for the weights that they fetch.
//!
//! Each move relieves the most loaded rank: another rank takes a replica of one of its experts in
//! the place of an expert that can spare one, it gives such a one up itself for a lighter one, or
//! the two ranks swap an expert. A move is worth what
//! it takes off the sum of a high power of the loads, for each weight fetched; moves end at a skew
//! that is good enough, at the budget, or when none gains.

use crate::map::{Expert, Map};
use crate::placer::{Constraints, Placer};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Placer { name: "few-moves", place: improve }
}

/// The power that makes the largest load count most.
const POWER: i32 = 8;
/// How much more an expert's replicas carry than those of one that spares a replica, to be worth it.
const RECOUNT: f64 = 1.12;
/// Ranks that are tried before the map is taken for as good as it gets.
const STRAGGLERS: usize = 4;
/// The least gain of a move, as a part of the sum, so that noise moves nothing.
const WORTH: f64 = 1e-5;

/// Finds a better map within the budget of moves.
pub fn improve(map: &Map, popularity: &[f64], terms: &Constraints) -> Map {
    let mut state = State::new(map, popularity);
    let mut spent = 0;
    while spent < terms.max_moves
        && state.skew() > terms.target_skew
        && let Some(recount) = state.best_recount()
    {
        spent += recount.cost();
        state.make(recount);
    }
    while spent < terms.max_moves && state.skew() > terms.target_skew {
        let left = terms.max_moves - spent;
        let Some(best) = state.best_move(left) else { break };
        spent += best.cost();
        state.make(best);
    }
    state.map
}

#[derive(Debug, Clone, Copy)]
enum Move {
    /// A rank's slot takes this expert, in the place of one with another replica.
    Replace { rank: usize, slot: usize, expert: Expert },
    /// Two slots swap their experts.
    Swap { left: (usize, usize), right: (usize, usize) },
}

impl Move {
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
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { most / self.mean } else { 1.0 }
    }

    fn cost_of(&self, load: f64) -> f64 {
        (load / self.mean).powi(POWER)
    }

    fn total(&self) -> f64 {
        self.loads.iter().map(|load| self.cost_of(*load)).sum()
    }

    /// Gives the expert whose replicas carry most one more, from the expert that can spare one best.
    fn best_recount(&self) -> Option<Move> {
        let share = |expert: usize, replicas: u32| self.popularity[expert] / f64::from(replicas);
        let experts = 0..self.replicas.len();
        let (heavy, most) = experts
            .clone()
            .filter(|expert| self.holders[*expert].len() < self.loads.len())
            .map(|expert| (expert, share(expert, self.replicas[expert])))
            .max_by(|left, right| left.1.total_cmp(&right.1))?;
        let (spare, least) = experts
            .filter(|expert| *expert != heavy && self.replicas[*expert] > 1)
            .map(|expert| (expert, share(expert, self.replicas[expert] - 1)))
            .min_by(|left, right| left.1.total_cmp(&right.1))?;
        if most < least * RECOUNT {
            return None;
        }
        let (expert, removed) = (heavy as Expert, spare as Expert);
        let open = self.holders[spare].iter().filter(|rank| !self.holders[heavy].contains(rank));
        let gain = |rank: &&usize| self.gain_of_replace(**rank, removed, expert);
        let rank = *open.max_by(|left, right| gain(left).total_cmp(&gain(right)))?;
        let slot = self.map.ranks[rank].iter().position(|held| *held == removed)?;
        Some(Move::Replace { rank, slot, expert })
    }

    /// Finds the best move for the most loaded rank, or else for one of the next.
    fn best_move(&self, budget: usize) -> Option<Move> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).collect();
        ranks.sort_by(|left, right| self.loads[*right].total_cmp(&self.loads[*left]));
        ranks.into_iter().take(STRAGGLERS).find_map(|rank| self.best_move_for(rank, budget))
    }

    fn best_move_for(&self, straggler: usize, budget: usize) -> Option<Move> {
        let worth = self.total() * WORTH;
        let mut best: Option<(f64, Move)> = None;
        let mut offer = |gain: f64, offered: Move| {
            let value = gain / offered.cost() as f64;
            let better = best.as_ref().is_none_or(|(known, _)| value > *known);
            if value > worth && better && offered.cost() <= budget {
                best = Some((value, offered));
            }
        };
        for (slot, expert) in self.map.ranks[straggler].iter().enumerate() {
            if self.replicas[*expert as usize] > 1 {
                let held = &self.map.ranks[straggler];
                for lighter in (0..self.map.experts).filter(|other| !held.contains(other)) {
                    let gain = self.gain_of_replace(straggler, *expert, lighter);
                    offer(gain, Move::Replace { rank: straggler, slot, expert: lighter });
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
                        let gain = self.gain_of_replace(rank, *other, *expert);
                        offer(gain, Move::Replace { rank, slot: other_slot, expert: *expert });
                    }
                    if !self.map.ranks[straggler].contains(other) {
                        let gain = self.gain_of_swap((straggler, *expert), (rank, *other));
                        let (left, right) = ((straggler, slot), (rank, other_slot));
                        offer(gain, Move::Swap { left, right });
                    }
                }
            }
        }
        best.map(|(_, best)| best)
    }

    /// Returns what the sum loses when `rank` holds `added` in the place of `removed`.
    fn gain_of_replace(&self, rank: usize, removed: Expert, added: Expert) -> f64 {
        let (out, into) = (removed as usize, added as usize);
        let out_before = self.popularity[out] / f64::from(self.replicas[out]);
        let out_after = self.popularity[out] / f64::from(self.replicas[out] - 1);
        let in_before = self.popularity[into] / f64::from(self.replicas[into]);
        let in_after = self.popularity[into] / f64::from(self.replicas[into] + 1);
        let change = |holder: usize, by: f64| {
            self.cost_of(self.loads[holder]) - self.cost_of(self.loads[holder] + by)
        };
        let mut gain = change(rank, in_after - out_before);
        for holder in self.holders[out].iter().filter(|holder| **holder != rank) {
            let both = self.holders[into].contains(holder);
            let by = out_after - out_before + if both { in_after - in_before } else { 0.0 };
            gain += change(*holder, by);
        }
        for holder in &self.holders[into] {
            if !self.holders[out].contains(holder) {
                gain += change(*holder, in_after - in_before);
            }
        }
        gain
    }

    fn gain_of_swap(&self, left: (usize, Expert), right: (usize, Expert)) -> f64 {
        let share = |expert: Expert| {
            let index = expert as usize;
            self.popularity[index] / f64::from(self.replicas[index])
        };
        let by = share(right.1) - share(left.1);
        let (one, other) = (self.loads[left.0], self.loads[right.0]);
        let before = self.cost_of(one) + self.cost_of(other);
        before - self.cost_of(one + by) - self.cost_of(other - by)
    }

    fn make(&mut self, made: Move) {
        match made {
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
