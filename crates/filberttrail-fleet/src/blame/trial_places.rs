use super::SubjectId;
use filberttrail_kernel::digest::{mix, stable_hash};

/// Minimum number of places of a service that may try a suspect, if it has more. Two, so that the loss
/// of one leaves another.
const MIN_TRIAL_PLACES: usize = 2;
/// Number of places for each of which one may try a suspect. Entries of large estates are connected to
/// some dozens of places, of which one has to be among them.
const PLACES_PER_TRIAL_PLACE: usize = 16;

/// Chooses the places of a service that may try a suspect, each of which decides by itself on the
/// requests that it is sent: fewer than there are, so that trials can't end all of them. `crashed` tells
/// whether the request was broken off by a crash: it may then be tried at all places but one, as most
/// such requests are sound. Processes that know the same places choose the same.
///
/// Load pattern: several entries offer the same harmful request to several places at once, and each
/// place hears of a crash at another one only after it has begun its own trial.
pub fn choose_trial_places<'a>(
    subject: SubjectId,
    places: &[&'a str],
    crashed: bool,
) -> Vec<&'a str> {
    let most = places.len().saturating_sub(1).max(1);
    let count = match crashed {
        true => most,
        false => (places.len() / PLACES_PER_TRIAL_PLACE).max(MIN_TRIAL_PLACES).min(most),
    };
    let mut ranked = places.to_vec();
    ranked
        .sort_by_cached_key(|place| std::cmp::Reverse(mix(stable_hash(place.as_bytes()), subject)));
    ranked.truncate(count);
    ranked
}
