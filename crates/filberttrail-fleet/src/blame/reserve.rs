use filberttrail_kernel::digest::stable_hash;
use std::collections::BTreeMap;

/// The part of a service that gets no suspects, so that their trials can't end all of it.
///
/// Load pattern: a plain service of three upstreams, each of which takes seconds to return after a
/// crash. Two crashes come before anyone knows the request that caused them, and a trial of it would
/// end the last upstream, with all sound requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reserve<'a> {
    /// The service is a single place, and there is nothing to choose.
    Nothing,
    /// This place.
    Place(&'a str),
    /// All of it: at most one place is up, of several that are registered.
    Everything,
}

impl<'a> Reserve<'a> {
    /// Chooses among the places of a service: names of lock-step groups, and ids of upstreams that
    /// are in none, with whether the place is up. Entries that agree on these choose the same.
    pub fn choose(places: &BTreeMap<&'a str, bool>) -> Self {
        if places.len() < 2 {
            return Self::Nothing;
        }
        let up: Vec<&str> = places.iter().filter(|(_, up)| **up).map(|(name, _)| *name).collect();
        if up.len() < 2 {
            return Self::Everything;
        }
        let kept = up.into_iter().max_by_key(|name| stable_hash(name.as_bytes()));
        kept.map_or(Self::Everything, Self::Place)
    }
}
