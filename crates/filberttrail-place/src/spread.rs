//! Spreads hot experts over ranks within what each rank may copy before the change.
//!
//! Load pattern: a few experts draw most tokens, and others do so seconds later. All layers are
//! improved together: a pass lasts as long as the sum of every layer's most loaded rank, and a rank
//! copies the experts of all layers over one link. Each step takes the copy that shortens the pass
//! most; it uses a free slot, or one whose expert has another replica.

use crate::map::{Expert, Map};

/// The power that makes the largest load count most.
const POWER: i32 = 8;
/// The least part of a layer's load that a copy has to save; with more, settled maps lie further above
/// a full repack than the target of 5 in 100.
const WORTH: f64 = 0.002;

/// What a change must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Slots of a rank in each layer.
    pub slots: usize,
    /// Experts that a rank may copy in one layer.
    pub copies_per_layer: usize,
    /// Experts that a rank may copy in all layers together.
    pub copies_per_rank: usize,
}

/// How much longer each rank takes for the same work, 1 for a sound one.
pub type Slowdowns<'a> = &'a [f64];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    /// A rank copies an expert, in the place of another one where its slots are full.
    Copy { rank: usize, expert: Expert, evicted: Option<Expert> },
    /// A rank gives up an expert that others hold as well.
    Drop { rank: usize, expert: Expert },
}

#[derive(Debug, Clone, Copy)]
struct Move {
    change: Change,
    gain: f64,
}

/// Returns the sum over the layers of the most loaded rank's time, with 1 a layer for even ranks
/// that are all sound.
pub fn compute_pass_time(maps: &[Map], popularity: &[Vec<f64>], paces: Slowdowns<'_>) -> f64 {
    let layer = |(map, popularity): (&Map, &Vec<f64>)| {
        let loads = times(map, popularity, paces);
        let even = popularity.iter().sum::<f64>() / map.ranks.len().max(1) as f64;
        loads.into_iter().fold(0.0, f64::max) / even.max(f64::MIN_POSITIVE)
    };
    maps.iter().zip(popularity).map(layer).sum()
}

/// Finds better maps for all layers.
pub fn spread(
    maps: &[Map],
    popularity: &[Vec<f64>],
    paces: Slowdowns<'_>,
    terms: &Constraints,
) -> Vec<Map> {
    let mut maps = maps.to_vec();
    let ranks = maps.first().map_or(0, |map| map.ranks.len());
    let mut copied = vec![0; ranks];
    let mut fresh: Vec<Vec<Vec<Expert>>> = vec![vec![Vec::new(); ranks]; maps.len()];
    let best = |layer: usize, maps: &[Map], copied: &[usize], fresh: &[Vec<Expert>]| {
        Layer { map: &maps[layer], popularity: &popularity[layer], paces, terms, copied, fresh }
            .best_move()
    };
    let mut found: Vec<Option<Move>> =
        (0..maps.len()).map(|layer| best(layer, &maps, &copied, &fresh[layer])).collect();
    loop {
        let moves = found.iter().enumerate().filter_map(|(layer, found)| Some((layer, (*found)?)));
        let Some((layer, next)) = moves.max_by(|one, other| one.1.gain.total_cmp(&other.1.gain))
        else {
            return maps;
        };
        apply(&mut maps[layer], next.change);
        let mut filled = None;
        if let Change::Copy { rank, expert, .. } = next.change {
            copied[rank] += 1;
            fresh[layer][rank].push(expert);
            filled = (copied[rank] >= terms.copies_per_rank).then_some(rank);
        }
        for other in 0..maps.len() {
            let stale = found[other].is_some_and(|found| match found.change {
                Change::Copy { rank, .. } => Some(rank) == filled,
                Change::Drop { .. } => false,
            });
            if other == layer || stale {
                found[other] = best(other, &maps, &copied, &fresh[other]);
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

fn times(map: &Map, popularity: &[f64], paces: Slowdowns<'_>) -> Vec<f64> {
    let loads = map.loads(popularity).into_iter().enumerate();
    loads.map(|(rank, load)| load * paces.get(rank).copied().unwrap_or(1.0)).collect()
}

/// A layer on the way to its next map.
struct Layer<'a> {
    map: &'a Map,
    popularity: &'a [f64],
    paces: Slowdowns<'a>,
    terms: &'a Constraints,
    copied: &'a [usize],
    fresh: &'a [Vec<Expert>],
}

impl Layer<'_> {
    /// Finds the move that relieves the rank that takes longest best.
    fn best_move(&self) -> Option<Move> {
        let replicas = self.map.replicas();
        let loads = self.map.loads(self.popularity);
        let times = times(self.map, self.popularity, self.paces);
        let straggler =
            (0..times.len()).max_by(|one, other| times[*one].total_cmp(&times[*other]))?;
        let before = self.cost(&loads)?;
        let mut best: Option<Move> = None;
        let mut offer = |loads: &[f64], change: Change| {
            let Some(after) = self.cost(loads) else { return };
            let gain = before - after;
            if gain > WORTH && best.is_none_or(|best| gain > best.gain) {
                best = Some(Move { change, gain });
            }
        };
        for expert in &self.map.ranks[straggler] {
            let copies = replicas[*expert as usize];
            if copies > 1 {
                let mut loads = loads.clone();
                self.reshare(&mut loads, *expert, copies, copies - 1);
                loads[straggler] -= self.share(*expert, copies - 1);
                offer(&loads, Change::Drop { rank: straggler, expert: *expert });
            }
            let mut added = loads.clone();
            self.reshare(&mut added, *expert, copies, copies + 1);
            for rank in (0..loads.len()).filter(|rank| self.may_copy(*rank, *expert)) {
                let mut loads = added.clone();
                loads[rank] += self.share(*expert, copies + 1);
                if self.map.ranks[rank].len() < self.terms.slots {
                    offer(&loads, Change::Copy { rank, expert: *expert, evicted: None });
                    continue;
                }
                for evicted in self.spare(rank, &replicas) {
                    let mut loads = loads.clone();
                    let copies = replicas[evicted as usize];
                    self.reshare(&mut loads, evicted, copies, copies - 1);
                    loads[rank] -= self.share(evicted, copies - 1);
                    let evicted = Some(evicted);
                    offer(&loads, Change::Copy { rank, expert: *expert, evicted });
                }
            }
        }
        best
    }

    /// Returns the experts of a rank that other ranks hold as well, but for those just copied.
    fn spare(&self, rank: usize, replicas: &[u32]) -> impl Iterator<Item = Expert> {
        let fresh = &self.fresh[rank];
        let held = self.map.ranks[rank].iter().copied();
        held.filter(move |expert| replicas[*expert as usize] > 1 && !fresh.contains(expert))
    }

    fn may_copy(&self, rank: usize, expert: Expert) -> bool {
        self.copied[rank] < self.terms.copies_per_rank
            && self.fresh[rank].len() < self.terms.copies_per_layer
            && !self.map.ranks[rank].contains(&expert)
    }

    fn share(&self, expert: Expert, copies: u32) -> f64 {
        self.popularity[expert as usize] / f64::from(copies.max(1))
    }

    /// Changes the load of an expert's holders as the number of its copies changes.
    fn reshare(&self, loads: &mut [f64], expert: Expert, from: u32, to: u32) {
        let by = self.share(expert, to) - self.share(expert, from);
        for (rank, held) in self.map.ranks.iter().enumerate() {
            if held.contains(&expert) {
                loads[rank] += by;
            }
        }
    }

    /// Returns a smooth stand-in for the time of the rank that takes longest, with 1 for even ranks.
    fn cost(&self, loads: &[f64]) -> Option<f64> {
        let speed: f64 = (0..loads.len())
            .map(|rank| 1.0 / self.paces.get(rank).copied().unwrap_or(1.0).max(1.0))
            .sum();
        let even = loads.iter().sum::<f64>() / speed;
        let time = |(rank, load): (usize, &f64)| {
            (load * self.paces.get(rank).copied().unwrap_or(1.0) / even).powi(POWER)
        };
        let sum: f64 = loads.iter().enumerate().map(time).sum();
        (even > 0.0).then(|| sum.powf(1.0 / f64::from(POWER)))
    }
}
