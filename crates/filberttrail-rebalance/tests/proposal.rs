//! When a group gets a new map.

use filberttrail_place::Map;
use filberttrail_rebalance::proposal::{Inputs, Proposal};
use filberttrail_rebalance::report::Shape;

const SHAPE: Shape = Shape { layers: 2, experts: 4, slots: 3, copies: 2, copy_time: 0.1 };

fn maps() -> Vec<Map> {
    vec![Map { experts: 4, ranks: vec![vec![0, 1], vec![2, 3]] }; SHAPE.layers]
}

fn propose(popularity: &[Vec<f64>], is_held: bool) -> Option<Proposal> {
    let maps = maps();
    let inputs = Inputs {
        maps: &maps,
        popularity,
        slowdowns: &[1.0, 1.0],
        shape: &SHAPE,
        lossy: false,
        is_held,
    };
    Proposal::new(&inputs)
}

/// Guards against a hold that is released only after tokens have flowed, while it stops them: a group
/// whose plan was lost with a store that was restored from a copy served no stream any more.
#[test]
fn a_held_group_gets_a_map_although_its_popularity_is_not_known() {
    let unknown: [&[Vec<f64>]; 3] = [&[], &[vec![0.25; 4]], &[vec![0.5; 2], vec![0.5; 2]]];
    for popularity in unknown {
        let proposal = propose(popularity, true).expect("a proposal");
        assert_eq!(proposal, Proposal { maps: maps(), pass_times: None });
        assert_eq!(propose(popularity, false), None);
    }
}

#[test]
fn a_map_without_gain_is_proposed_only_to_a_held_group() {
    let even = vec![vec![0.25; 4]; SHAPE.layers];
    assert_eq!(propose(&even, false), None);
    assert!(propose(&even, true).is_some());
    let skewed = vec![vec![0.4, 0.4, 0.1, 0.1]; SHAPE.layers];
    let (before, after) = propose(&skewed, false).and_then(|p| p.pass_times).expect("a proposal");
    assert!(after < before, "{before} to {after}");
}
