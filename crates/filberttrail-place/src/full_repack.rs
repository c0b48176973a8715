//! Packs all experts from scratch, the heaviest first onto the least loaded rank. This greedy
//! policy is the baseline of comparisons; it ignores the cost of moves.

use crate::map::{Expert, Map};
use crate::placer::{Constraints, Placer};
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Placer { name: "full-repack", place: repack }
}

/// Computes a map from scratch. The current map only provides the numbers of experts and ranks.
pub fn repack(map: &Map, popularity: &[f64], constraints: &Constraints) -> Map {
    let ranks = map.ranks.len();
    let replicas = allocate_replicas(popularity, ranks, constraints.slots as usize * ranks);
    let mut replica_loads: Vec<(Expert, f64)> = Vec::new();
    for (expert, count) in replicas.iter().enumerate() {
        let share = popularity[expert] / *count as f64;
        replica_loads.extend(std::iter::repeat_n((expert as Expert, share), *count));
    }
    replica_loads.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut held: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
    let mut loads = vec![0.0_f64; ranks];
    for (expert, share) in replica_loads {
        let has_free_slot = |rank: &usize| held[*rank].len() < constraints.slots as usize;
        let can_hold = |rank: &usize| has_free_slot(rank) && !held[*rank].contains(&expert);
        let least = |left: &usize, right: &usize| loads[*left].total_cmp(&loads[*right]);
        let chosen = (0..ranks).filter(can_hold).min_by(least);
        let Some(rank) = chosen.or_else(|| (0..ranks).filter(has_free_slot).min_by(least)) else {
            continue;
        };
        held[rank].push(expert);
        loads[rank] += share;
    }
    Map { experts: map.experts, ranks: held }
}

/// Returns the replica count of each expert. Slots beyond one per expert go to the expert with the
/// highest load per replica.
fn allocate_replicas(popularity: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut replicas = vec![1_usize; popularity.len()];
    for _ in popularity.len()..slots {
        let below_limit = (0..replicas.len()).filter(|expert| replicas[*expert] < ranks);
        let share = |expert: &usize| popularity[*expert] / replicas[*expert] as f64;
        let heaviest = below_limit.max_by(|left, right| share(left).total_cmp(&share(right)));
        if let Some(expert) = heaviest {
            replicas[expert] += 1;
        }
    }
    replicas
}
