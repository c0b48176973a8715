//! Tests of the routing policies, the prefix cache estimate and the connection subsets.

use filberttrail_kernel::plugin;
use filberttrail_route::{Candidate, Index, Policy, Request, prefix, subset};
use filberttrail_test_support::property;
use std::time::Duration;

fn candidates(loads: &[u8]) -> Vec<Candidate> {
    let candidate = |(index, load): (usize, &u8)| Candidate {
        id: index as u64 * 7_919,
        reported_load: u32::from(*load) % 40,
        sent_since_report: 0,
        concurrency_limit: 32,
        step_time: Duration::from_millis(20),
        round_trip: Duration::from_micros(500),
        cached_tokens: 0,
    };
    loads.iter().enumerate().map(candidate).collect()
}

#[test]
fn every_policy_registers_itself() {
    let names = ["expected-wait", "least-requests", "round-robin", "two-choices"];
    assert_eq!(plugin::names::<Policy>(), names);
}

#[test]
fn the_error_for_an_unknown_policy_lists_the_known_ones() {
    let error = plugin::find::<Policy>("best").err().expect("an error").to_string();
    assert!(error.contains("expected-wait"), "{error}");
}

#[test]
fn no_policy_chooses_a_candidate_without_room() {
    fn respects_limits(loads: Vec<u8>) -> bool {
        let candidates = candidates(&loads);
        let mut random = fastrand::Rng::with_seed(1);
        let request = Request { sequence: 5, prompt_tokens: 100, prefixes: vec![3] };
        plugin::names::<Policy>().iter().all(|name| {
            let policy = plugin::find::<Policy>(name).expect("a policy");
            match policy.choose(&request, &candidates, &mut random) {
                Some(choice) => candidates[choice.index].has_room(),
                None => candidates.iter().all(|candidate| !candidate.has_room()),
            }
        })
    }
    property::check(71, respects_limits as fn(Vec<u8>) -> bool);
}

#[test]
fn expected_wait_matches_least_requests_for_a_prompt_without_prefixes() {
    fn picks_equal_load(loads: Vec<u8>) -> bool {
        let candidates = candidates(&loads);
        let request = Request { sequence: 1, prompt_tokens: 100, prefixes: vec![] };
        let choose = |name: &str| {
            let policy = plugin::find::<Policy>(name).expect("a policy");
            let mut random = fastrand::Rng::with_seed(9);
            let choice = policy.choose(&request, &candidates, &mut random)?;
            Some(candidates[choice.index].reported_load)
        };
        choose("expected-wait") == choose("least-requests")
    }
    property::check(72, picks_equal_load as fn(Vec<u8>) -> bool);
}

#[test]
fn a_cached_prefix_is_preferred_until_its_engine_nears_its_limit() {
    let policy = plugin::find::<Policy>("expected-wait").expect("a policy");
    let mut all = candidates(&[4, 4, 4]);
    all[2].cached_tokens = 3_000;
    let request = Request { sequence: 1, prompt_tokens: 3_200, prefixes: vec![1] };
    let mut random = fastrand::Rng::with_seed(2);
    assert_eq!(policy.choose(&request, &all, &mut random).expect("a choice").index, 2);
    all[2].reported_load = 31;
    assert_ne!(policy.choose(&request, &all, &mut random).expect("a choice").index, 2);
}

#[test]
fn cached_tokens_decay_with_age_and_are_removed_with_the_upstream() {
    let mut index = Index::new();
    let words = "word ".repeat(4 * prefix::BLOCK_WORDS);
    let prefix_hashes = prefix::hash_prefixes(&words);
    assert_eq!(prefix_hashes.len(), 4);
    index.record(&prefix_hashes, 7, Duration::ZERO);
    assert_eq!(
        index.estimate_cached_tokens(&prefix_hashes, 7, Duration::ZERO),
        4 * prefix::BLOCK_WORDS as u64
    );
    assert!(
        index.estimate_cached_tokens(&prefix_hashes, 7, prefix::CACHE_LIFETIME / 2)
            < 3 * prefix::BLOCK_WORDS as u64
    );
    assert_eq!(index.estimate_cached_tokens(&prefix_hashes, 7, prefix::CACHE_LIFETIME), 0);
    assert_eq!(index.estimate_cached_tokens(&prefix_hashes, 8, Duration::ZERO), 0);
    index.remove_upstream(7);
    assert_eq!(index.estimate_cached_tokens(&prefix_hashes, 7, Duration::ZERO), 0);
}

#[test]
fn the_loss_of_an_upstream_changes_one_member_of_a_subset() {
    let names: Vec<String> = (0..100).map(|index| format!("engine-{index}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let picked = |names: &[&str]| -> std::collections::BTreeSet<String> {
        let chosen = subset::choose("entry-1", names, 16);
        chosen.into_iter().map(|index| names[index].to_string()).collect()
    };
    let before = picked(&all);
    let lost = before.first().expect("a name").clone();
    let left: Vec<&str> = all.iter().copied().filter(|name| *name != lost).collect();
    let after = picked(&left);
    assert_eq!(before.difference(&after).count(), 1);
}
