//! The expert map of one layer.

use filberttrail_kernel::{Error, Result};
use serde::{Deserialize, Serialize};

/// The number of an expert in its layer, from 0.
pub type Expert = u32;

/// The expert map of one layer: which experts each rank holds.
///
/// Invariant: every expert has at least one slot, and a rank holds an expert at most once if there
/// are enough ranks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// Number of experts in the layer.
    pub experts: u32,
    /// The experts of each rank, in slot order.
    pub ranks: Vec<Vec<Expert>>,
}

impl Map {
    /// Assigns experts to slots in round-robin order, continuing from one rank to the next.
    pub fn uniform(experts: u32, ranks: u32, slots: u32) -> Self {
        let experts = experts.max(1);
        let fill_rank = |rank: u32| {
            let mut held = Vec::with_capacity(slots as usize);
            let first = rank * slots % experts;
            for slot in 0..slots.min(experts) {
                held.push((first + slot) % experts);
            }
            held
        };
        Self { experts, ranks: (0..ranks).map(fill_rank).collect() }
    }

    /// Checks that every expert has a slot and that ranks hold at most `slots` known experts.
    ///
    /// # Errors
    ///
    /// Returns an error that names the expert without a slot or the invalid rank.
    pub fn check(&self, slots: u32) -> Result<()> {
        let help = "compute the map again";
        let invalid = |what: String| Err(Error::request("expert map", what, help).into());
        let replicas = self.replicas();
        if let Some(missing) = replicas.iter().position(|count| *count == 0) {
            return invalid(format!("expert {missing} has no slot"));
        }
        for (rank, held) in self.ranks.iter().enumerate() {
            if held.len() > slots as usize || held.iter().any(|expert| *expert >= self.experts) {
                return invalid(format!("rank {rank} holds {held:?}"));
            }
        }
        Ok(())
    }

    /// Counts the replicas of each expert.
    pub fn replicas(&self) -> Vec<u32> {
        let mut counts = vec![0; self.experts as usize];
        for expert in self.ranks.iter().flatten() {
            if let Some(count) = counts.get_mut(*expert as usize) {
                *count += 1;
            }
        }
        counts
    }

    /// Lists the ranks that hold each expert, in ascending order.
    pub fn holders(&self) -> Vec<Vec<usize>> {
        let mut holders = vec![Vec::new(); self.experts as usize];
        for (rank, held) in self.ranks.iter().enumerate() {
            for expert in held {
                if let Some(ranks) = holders.get_mut(*expert as usize) {
                    ranks.push(rank);
                }
            }
        }
        holders
    }

    /// Returns the load of each rank, when the load of an expert is divided equally between its
    /// replicas. Loads have the unit of `popularity`.
    pub fn loads(&self, popularity: &[f64]) -> Vec<f64> {
        let replicas = self.replicas();
        let share = |expert: &Expert| {
            let index = *expert as usize;
            popularity[index] / f64::from(replicas[index].max(1))
        };
        self.ranks.iter().map(|held| held.iter().map(share).sum()).collect()
    }

    /// Returns the ratio of the largest rank load to the mean, 1 if there is no load.
    pub fn skew(&self, popularity: &[f64]) -> f64 {
        let loads = self.loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 { 1.0 } else { loads.iter().copied().fold(0.0, f64::max) / mean }
    }

    /// Counts the expert weights that ranks have to fetch to change from another map to this one.
    pub fn moves_from(&self, before: &Self) -> usize {
        let fetched = |(held, old): (&Vec<Expert>, &Vec<Expert>)| {
            held.iter().filter(|expert| !old.contains(expert)).count()
        };
        self.ranks.iter().zip(&before.ranks).map(fetched).sum()
    }
}
