//! Where a suspect may be tried when each upstream decides by itself.

use filberttrail_fleet::blame::choose_trial_places;
use filberttrail_test_support::property::check;

fn leaves_a_place_and_is_the_same_for_all(subject: u64, count: u8) -> bool {
    let names: Vec<String> = (0..count % 24).map(|number| format!("upstream-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let reversed: Vec<&str> = names.iter().rev().copied().collect();
    let places = choose_trial_places(subject, &names, false);
    let expected = match names.len() {
        0 => 0,
        1 | 2 => 1,
        _ => 2,
    };
    let retries = choose_trial_places(subject, &names, true);
    let leaves_one = names.is_empty() || retries.len() == (names.len() - 1).max(1);
    leaves_one
        && places.len() == expected
        && places == choose_trial_places(subject, &reversed, false)
}

#[test]
fn trials_leave_one_place_of_a_service_and_all_processes_choose_the_same() {
    check(28, leaves_a_place_and_is_the_same_for_all as fn(u64, u8) -> bool);
}

/// An entry of a large estate is connected to some of the upstreams only.
#[test]
fn an_entry_of_a_large_estate_reaches_a_place_that_may_try_a_suspect() {
    const UPSTREAMS: usize = 1_500;
    const SUBSET: usize = 50;
    let names: Vec<String> = (0..UPSTREAMS).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut random = fastrand::Rng::with_seed(28);
    let mut reached = 0;
    for subject in 0..200 {
        let places = choose_trial_places(subject, &names, false);
        let subset: Vec<&str> = (0..SUBSET).map(|_| names[random.usize(..UPSTREAMS)]).collect();
        reached += usize::from(subset.iter().any(|name| places.contains(name)));
    }
    assert!(reached >= 180, "{reached} of 200 entries reach one");
}
