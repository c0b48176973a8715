//! Where a suspect may be tried when each upstream decides by itself.

use filberttrail_fleet::blame::choose_trial_places;
use filberttrail_test_support::property::check;

fn leaves_a_place_and_is_the_same_for_all(subject: u64, count: u8) -> bool {
    let names: Vec<String> = (0..count % 24).map(|number| format!("upstream-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let reversed: Vec<&str> = names.iter().rev().copied().collect();
    let places = choose_trial_places(subject, &names);
    let expected = match names.len() {
        0 => 0,
        1 | 2 => 1,
        _ => 2,
    };
    places.len() == expected && places == choose_trial_places(subject, &reversed)
}

#[test]
fn trials_leave_one_place_of_a_service_and_all_processes_choose_the_same() {
    check(28, leaves_a_place_and_is_the_same_for_all as fn(u64, u8) -> bool);
}
