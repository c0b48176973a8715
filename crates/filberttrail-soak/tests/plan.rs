//! Fault plans: they depend on the seed alone, and cover all kinds of faults.

use filberttrail_soak::plan::Size;
use filberttrail_soak::{Fault, Plan};
use std::collections::BTreeSet;
use std::time::Duration;

const SIZE: Size = Size { gateways: 3, upstreams: 4, data_centres: 2 };
const FAULTS_FOR: Duration = Duration::from_secs(60);

#[test]
fn equal_seeds_give_equal_plans_and_different_seeds_different_ones() {
    assert_eq!(Plan::new(7, FAULTS_FOR, SIZE), Plan::new(7, FAULTS_FOR, SIZE));
    assert_ne!(Plan::new(7, FAULTS_FOR, SIZE), Plan::new(8, FAULTS_FOR, SIZE));
}

/// Counts the steps that last beyond the start of the next one, and the steps of planned work that
/// are followed by at least 4 s without a fault.
fn count_overlapping_and_isolated(plan: &Plan) -> (usize, usize) {
    let next = plan.steps.iter().skip(1).map(|step| step.at).chain([plan.undisturbed_from]);
    let gaps = plan.steps.iter().zip(next).map(|(step, next)| (step.fault, next - step.at));
    gaps.fold((0, 0), |(overlapping, isolated), (fault, gap)| {
        let duration = match fault {
            Fault::Freeze(_, span) | Fault::Link(.., span) | Fault::Slow(_, span) => span,
            _ => Duration::ZERO,
        };
        let is_isolated = fault.is_planned() && gap >= Duration::from_secs(4);
        (overlapping + usize::from(duration > gap), isolated + usize::from(is_isolated))
    })
}

#[test]
fn plans_have_overlapping_faults_and_isolated_planned_work() {
    let (mut overlapping, mut isolated) = (0, 0);
    for seed in 0..20 {
        let plan = Plan::new(seed, FAULTS_FOR, SIZE);
        let counts = count_overlapping_and_isolated(&plan);
        overlapping += counts.0;
        isolated += counts.1;
        assert!(
            counts.0 + counts.1 > 0,
            "seed {seed}: no overlapping faults and no isolated planned work"
        );
        let steps = plan.steps.iter();
        assert!(steps.map(|step| step.at).max() < Some(plan.undisturbed_from));
        assert!(plan.undisturbed_from < plan.end);
    }
    assert!(overlapping >= 40 && isolated >= 40, "{overlapping} overlapping, {isolated} isolated");
}

#[test]
fn plans_draw_every_kind_of_fault() {
    let plans = (0..40).map(|seed| Plan::new(seed, FAULTS_FOR, SIZE));
    let names: BTreeSet<String> = plans
        .flat_map(|plan| plan.steps)
        .map(|step| format!("{:?}", step.fault))
        .filter_map(|name| name.split(['(', ' ']).next().map(ToString::to_string))
        .collect();
    let all = [
        "Crash",
        "Freeze",
        "Harm",
        "Kill",
        "Leave",
        "Link",
        "Misbehave",
        "OddWriter",
        "Out",
        "Reload",
        "ReplaceKey",
        "Slow",
        "Stop",
        "Store",
    ];
    assert_eq!(names.iter().collect::<Vec<_>>(), all);
}
