//! Packs every expert anew, heaviest first onto the least loaded rank: the naive reference.

use crate::map::{Expert, Map};
use crate::placer::{Constraints, Placer};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Placer { name: "full-repack", place: repack }
}

/// Computes a map from nothing; what ranks hold now plays no part.
pub fn repack(map: &Map, popularity: &[f64], terms: &Constraints) -> Map {
    let ranks = map.ranks.len();
    let replicas = spread(popularity, ranks, terms.slots as usize * ranks);
    let mut pieces: Vec<(Expert, f64)> = Vec::new();
    for (expert, count) in replicas.iter().enumerate() {
        let share = popularity[expert] / *count as f64;
        pieces.extend(std::iter::repeat_n((expert as Expert, share), *count));
    }
    pieces.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut held: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
    let mut loads = vec![0.0_f64; ranks];
    for (expert, share) in pieces {
        let open = |rank: &usize| held[*rank].len() < terms.slots as usize;
        let fresh = |rank: &usize| open(rank) && !held[*rank].contains(&expert);
        let least = |left: &usize, right: &usize| loads[*left].total_cmp(&loads[*right]);
        let chosen = (0..ranks).filter(fresh).min_by(least);
        let Some(rank) = chosen.or_else(|| (0..ranks).filter(open).min_by(least)) else { continue };
        held[rank].push(expert);
        loads[rank] += share;
    }
    Map { experts: map.experts, ranks: held }
}

/// Gives each slot beyond one an expert to the one whose replicas carry most.
fn spread(popularity: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut replicas = vec![1_usize; popularity.len()];
    for _ in popularity.len()..slots {
        let open = (0..replicas.len()).filter(|expert| replicas[*expert] < ranks);
        let share = |expert: &usize| popularity[*expert] / replicas[*expert] as f64;
        let heaviest = open.max_by(|left, right| share(left).total_cmp(&share(right)));
        if let Some(expert) = heaviest {
            replicas[expert] += 1;
        }
    }
    replicas
}
