//! Keeps the map unchanged; the baseline without moves.

use crate::placer::Placer;
use filberttrail_kernel::plugin::inventory;

inventory::submit! {
    Placer { name: "never", place: |map, _, _| map.clone() }
}
