//! When a soak does what: decided by the seed alone.

use crate::fault::{Ailment, Fault, Harm, Path};
use fastrand::Rng;
use std::time::Duration;

/// What a plan is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Data centres.
    pub data_centres: usize,
}

/// One fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When, from the start of traffic.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// The faults of a run, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The faults.
    pub steps: Vec<Step>,
    /// When the last one is over, and traffic goes on undisturbed.
    pub calm_from: Duration,
    /// When traffic ends.
    pub end: Duration,
}

/// Undisturbed traffic at the end: processes restart within a stop's grace, and serve.
const TAIL: Duration = Duration::from_millis(14_000);
/// Undisturbed traffic before the first fault.
const HEAD: Duration = Duration::from_millis(1_500);
/// A lull before and after planned work, in which nothing else happens: the span after which a
/// machine counts as undisturbed, and half a second.
const LULL: Duration = Duration::from_millis(4_500);
/// One in so many steps is planned work between two lulls.
const PLANNED_ONE_IN: u32 = 7;
/// The longest pause between faults that overlap.
const GAP_MS: u64 = 700;
/// The longest that a fault lasts.
const FAULT_MS: u64 = 2_500;

impl Plan {
    /// Draws a plan whose faults come within a time.
    pub fn new(seed: u64, faults_for: Duration, size: Size) -> Self {
        let mut random = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut at = HEAD;
        while at < faults_for {
            if random.u32(..PLANNED_ONE_IN) == 0 {
                at += LULL;
                steps.push(Step { at, fault: planned(&mut random, size) });
                at += LULL;
            } else {
                steps.push(Step { at, fault: unplanned(&mut random, size) });
                at += Duration::from_millis(random.u64(..GAP_MS));
            }
        }
        let calm_from = at + Duration::from_millis(FAULT_MS);
        Self { steps, calm_from, end: calm_from + TAIL }
    }
}

fn span(random: &mut Rng) -> Duration {
    Duration::from_millis(random.u64(200..FAULT_MS))
}

fn planned(random: &mut Rng, size: Size) -> Fault {
    match random.u32(..6) {
        0 | 1 => Fault::Stop(random.usize(..size.gateways)),
        2 => Fault::Reload(random.usize(..size.gateways)),
        3 => Fault::Leave(random.usize(..size.upstreams)),
        4 => Fault::ReplaceKey,
        _ => Fault::Out(random.usize(..size.data_centres), Duration::from_millis(6_000)),
    }
}

fn unplanned(random: &mut Rng, size: Size) -> Fault {
    let gateway = random.usize(..size.gateways);
    let upstream = random.usize(..size.upstreams);
    let lasting = span(random);
    match random.u32(..16) {
        0 => Fault::Kill(gateway),
        1 | 2 => Fault::Freeze(gateway, lasting),
        3 => planned(random, size),
        4..=8 => {
            let path = match random.u32(..3) {
                0 => Path::Callers(gateway),
                1 => Path::Store(gateway),
                _ => Path::Upstream(upstream),
            };
            let harm = match random.u32(..5) {
                0 => Harm::Delay(Duration::from_millis(random.u64(20..400))),
                1 => Harm::CutToward,
                2 => Harm::CutBack,
                3 => Harm::Silence,
                _ => Harm::Reset,
            };
            Fault::Link(path, harm, lasting)
        }
        9 | 10 => {
            let ailment = match random.u32(..3) {
                0 => Ailment::Unavailable,
                1 => Ailment::LosesAnswers,
                _ => Ailment::Forgets,
            };
            Fault::Store(ailment, lasting)
        }
        11..=13 => Fault::Misbehave(upstream, random.usize(1..8)),
        14 => Fault::Slow(upstream, lasting),
        _ => Fault::End(upstream, lasting),
    }
}
