use super::SubjectId;
use filberttrail_kernel::digest::{mix, stable_hash};

/// Maximum number of places of a service that may try a suspect. Two, so that the loss of one leaves
/// another.
const TRIAL_PLACES: usize = 2;

/// Chooses the places of a service that may try a suspect, each of which decides by itself on the
/// requests that it is sent: one less than there are if there are few, so that trials can't end all of
/// them. Processes that know the same places choose the same.
///
/// Load pattern: several entries offer the same harmful request to several places at once, and each
/// place hears of a crash at another one only after it has begun its own trial.
pub fn choose_trial_places<'a>(subject: SubjectId, places: &[&'a str]) -> Vec<&'a str> {
    let count = TRIAL_PLACES.min(places.len().saturating_sub(1).max(1));
    let mut ranked = places.to_vec();
    ranked.sort_by_key(|place| std::cmp::Reverse(mix(stable_hash(place.as_bytes()), subject)));
    ranked.truncate(count);
    ranked
}
