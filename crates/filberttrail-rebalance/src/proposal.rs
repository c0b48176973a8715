//! Decides whether a group gets a new map, and which.
//!
//! Load pattern: popularity shifts every few seconds, and copies lengthen passes while they last, so a
//! change has to gain more than it costs. A group that is held by an order of a coordinator that is
//! gone makes no passes at all, and has no tokens to measure popularity by, until a switch releases
//! the hold.

use crate::report::Shape;
use filberttrail_place::{Map, spread};

/// Minimum relative reduction of the pass time that justifies a change. Copying slows passes by
/// about 15% while it lasts, and expert popularity is stable only for some seconds.
const MIN_GAIN: f64 = 0.06;
/// Minimum relative reduction while orders get no responses. A switch may then block the group at
/// its hold, which delays the group's streams.
const MIN_GAIN_LOSSY: f64 = 0.25;
/// Time that a rank may spend on copying expert weights for one change, in seconds.
const COPY_TIME_BUDGET: f64 = 0.4;

/// What a proposal depends on.
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// The maps in use, by layer.
    pub maps: &'a [Map],
    /// The shares of the experts, by layer; of other dimensions than the maps if they are not known.
    pub popularity: &'a [Vec<f64>],
    /// The slowdown factors of the ranks.
    pub slowdowns: &'a [f64],
    /// The dimensions of the experts.
    pub shape: &'a Shape,
    /// Whether orders get lost.
    pub lossy: bool,
    /// Whether a rank holds the group for a switch that no plan has.
    pub is_held: bool,
}

/// A new map.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The maps, by layer.
    pub maps: Vec<Map>,
    /// The times of a pass with the maps in use and with the new ones, in layers with even loads;
    /// `None` if popularity is not known.
    pub pass_times: Option<(f64, f64)>,
}

impl Proposal {
    /// Proposes a new map if it gains enough. A held group gets one in any case, as only a switch
    /// releases the hold; without known popularity it is the one in use.
    pub fn new(inputs: &Inputs<'_>) -> Option<Self> {
        let Inputs { maps, popularity, slowdowns, shape, lossy, is_held } = *inputs;
        let is_known = popularity.len() == shape.layers
            && popularity.iter().all(|shares| shares.len() == shape.experts);
        if !is_known {
            return is_held.then(|| Self { maps: maps.to_vec(), pass_times: None });
        }
        let min_gain = if lossy { MIN_GAIN_LOSSY } else { MIN_GAIN };
        let before = spread::compute_pass_time(maps, popularity, slowdowns);
        let is_enough = |after: f64| is_held || after <= before * (1.0 - min_gain);
        // The time of a pass with even loads is the number of layers.
        if !is_enough(shape.layers as f64) {
            return None;
        }
        let copies = (COPY_TIME_BUDGET / shape.copy_time.max(f64::MIN_POSITIVE)).floor();
        let constraints = spread::Constraints {
            slots: shape.slots,
            copies_per_layer: shape.copies,
            copies_per_rank: copies.clamp(1.0, 1_000.0) as usize,
        };
        let better = spread::spread(maps, popularity, slowdowns, &constraints);
        let after = spread::compute_pass_time(&better, popularity, slowdowns);
        is_enough(after).then_some(Self { maps: better, pass_times: Some((before, after)) })
    }
}
