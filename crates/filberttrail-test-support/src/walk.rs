//! Exhaustive exploration of the state space of a small model, breadth first.

use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::Hash;

/// Largest number of states that are explored. A model that has more needs to be made smaller.
const STATE_LIMIT: usize = 2_000_000;

/// Explores every state that is reachable from `start`, and returns the number of states.
///
/// `next` returns the possible steps of a state, each with its name and the state that follows;
/// `check` returns the violated invariant of a state, if any.
///
/// Fails with the first violation and the shortest sequence of steps that leads to it, or if the
/// model has too many states.
pub fn walk<S, N, C>(start: S, next: N, check: C) -> Result<usize, String>
where
    S: Clone + Eq + Hash + Debug,
    N: Fn(&S) -> Vec<(String, S)>,
    C: Fn(&S) -> Option<String>,
{
    let mut seen = HashSet::from([start.clone()]);
    let mut states = vec![(start, None::<(usize, String)>)];
    let mut queue = VecDeque::from([0]);
    while let Some(index) = queue.pop_front() {
        let state = states[index].0.clone();
        if let Some(violation) = check(&state) {
            return Err(format!("{violation} after: {}", format_path(&states, index)));
        }
        for (step, successor) in next(&state) {
            if seen.insert(successor.clone()) {
                states.push((successor, Some((index, step))));
                queue.push_back(states.len() - 1);
            }
        }
        if states.len() > STATE_LIMIT {
            return Err(format!("more than {STATE_LIMIT} states: use a smaller model"));
        }
    }
    Ok(states.len())
}

fn format_path<S>(states: &[(S, Option<(usize, String)>)], mut index: usize) -> String {
    let mut steps = Vec::new();
    while let Some((previous, step)) = &states[index].1 {
        steps.push(step.as_str());
        index = *previous;
    }
    steps.reverse();
    steps.join(", ")
}
