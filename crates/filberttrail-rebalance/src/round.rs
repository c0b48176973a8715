//! The replies of a group's ranks to one query of the coordinator.

use crate::peer::{Replies, Reply};
use crate::report::{Assignment, Report, Shape};

/// The replies to one query, by rank.
#[derive(Debug)]
pub struct Round {
    /// The reports; `None` for a rank without one, or one that has moved to another group.
    pub reports: Vec<Option<Report>>,
    /// The increments of all ranks' expert counts, added up; empty if there were none.
    pub counts: Vec<u64>,
    replies: Vec<Option<Reply>>,
}

impl Round {
    /// Sorts replies by rank. `own` is the report of the coordinator's rank.
    pub fn new(own: &Report, replies: Replies) -> Self {
        let mut by_rank: Vec<Option<Reply>> = vec![None; own.size];
        for (rank, reply) in replies.ranks {
            if let Some(slot) = by_rank.get_mut(rank) {
                *slot = Some(reply);
            }
        }
        let report = |(rank, reply): (usize, &mut Option<Reply>)| {
            let report = reply.as_mut()?.report.take()?;
            (report.rank == rank && report.group == own.group).then_some(report)
        };
        let reports = by_rank.iter_mut().enumerate().map(report).collect();
        Self { reports, counts: replies.counts, replies: by_rank }
    }

    /// Returns the HTTP status of a rank's engine in response to an order.
    pub fn status(&self, rank: usize) -> Option<u16> {
        self.replies.get(rank)?.as_ref()?.status
    }

    /// Returns one of the errors of calls to engines.
    pub fn first_error(&self) -> Option<&str> {
        self.replies.iter().flatten().find_map(|reply| reply.error.as_deref())
    }

    /// Returns the map in use, by layer and rank; `None` unless every rank reported its part of the
    /// same version.
    pub fn read_map(&self, own: &Report, shape: &Shape) -> Option<Assignment> {
        let mut map: Assignment = vec![Vec::with_capacity(own.size); shape.layers];
        for reply in &self.replies {
            let holding = reply.as_ref()?.holding.as_ref()?;
            if (holding.epoch, holding.version) != (own.epoch, own.map) {
                return None;
            }
            for (layer, ranks) in map.iter_mut().enumerate() {
                ranks.push(holding.layers.get(layer).cloned().unwrap_or_default());
            }
        }
        Some(map)
    }
}
