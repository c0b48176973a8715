//! Plans of faults, each drawn from a seed alone.

use crate::fault::{Fault, Hop, Impairment, Malfunction};
use fastrand::Rng;
use std::time::Duration;

/// The size of the estate that a plan is drawn for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of upstream endpoints.
    pub upstreams: usize,
    /// Number of data centres.
    pub data_centres: usize,
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of traffic.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// The faults of a run. All times count from the start of traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The faults, ordered by time.
    pub steps: Vec<Step>,
    /// When the last unplanned fault has ended and undisturbed traffic begins. Planned work that is
    /// drawn between faults may take a few seconds longer.
    pub undisturbed_from: Duration,
    /// When the callers send their last requests.
    pub end: Duration,
}

/// Undisturbed traffic after the last fault. It is long enough for a process to stop, which takes
/// up to the grace period of 8 s, to restart and to serve requests again.
const RECOVERY_TIME: Duration = Duration::from_millis(14_000);
/// Undisturbed traffic before the first fault.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time without faults before and after planned work: the 4 s after which a gateway counts as
/// undisturbed ([`Bounds::settle`](crate::verdict::Bounds::settle)), plus 0.5 s.
const FAULT_FREE_TIME: Duration = Duration::from_millis(4_500);
/// On average, one in this many steps is planned work between two periods without faults.
const PLANNED_ONE_IN: u32 = 7;
/// Upper bound of the pause from one fault to the next, in milliseconds. It is shorter than most
/// faults last, so that faults overlap.
const MAX_GAP_MS: u64 = 700;
/// Duration for which a crashing request comes. It is longer than the 4 s from the third crash after
/// which the verdict counts the requests that still reach upstreams.
const HARM_TIME: Duration = Duration::from_millis(9_000);
/// Upper bound of the duration of an unplanned fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;

impl Plan {
    /// Draws a plan that starts no new fault once `faults_for` has passed, apart from planned work
    /// that follows a period without faults. The same arguments give the same plan.
    pub fn new(seed: u64, faults_for: Duration, size: Size) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut at = WARM_UP;
        while at < faults_for {
            if rng.u32(..PLANNED_ONE_IN) == 0 {
                at += FAULT_FREE_TIME;
                steps.push(Step { at, fault: draw_planned(&mut rng, size) });
                at += FAULT_FREE_TIME;
            } else {
                steps.push(Step { at, fault: draw_unplanned(&mut rng, size) });
                at += Duration::from_millis(rng.u64(..MAX_GAP_MS));
            }
        }
        let last_harm = steps.iter().filter(|step| matches!(step.fault, Fault::Harm(_)));
        let last_harm = last_harm.map(|step| step.at + HARM_TIME).max().unwrap_or_default();
        let undisturbed_from = last_harm.max(at + Duration::from_millis(MAX_FAULT_MS));
        Self { steps, undisturbed_from, end: undisturbed_from + RECOVERY_TIME }
    }
}

fn draw_duration(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(200..MAX_FAULT_MS))
}

fn draw_planned(rng: &mut Rng, size: Size) -> Fault {
    match rng.u32(..6) {
        0 | 1 => Fault::Stop(rng.usize(..size.gateways)),
        2 => Fault::Reload(rng.usize(..size.gateways)),
        3 => Fault::Leave(rng.usize(..size.upstreams)),
        4 => Fault::ReplaceKey,
        _ => Fault::Out(rng.usize(..size.data_centres), Duration::from_millis(6_000)),
    }
}

fn draw_unplanned(rng: &mut Rng, size: Size) -> Fault {
    let gateway = rng.usize(..size.gateways);
    let upstream = rng.usize(..size.upstreams);
    let duration = draw_duration(rng);
    match rng.u32(..16) {
        0 => Fault::Kill(gateway),
        1 | 2 => Fault::Freeze(gateway, duration),
        3 => draw_planned(rng, size),
        4..=8 => {
            let hop = match rng.u32(..3) {
                0 => Hop::Callers(gateway),
                1 => Hop::Store(gateway),
                _ => Hop::Upstream(upstream),
            };
            let impairment = match rng.u32(..5) {
                0 => Impairment::Delay(Duration::from_millis(rng.u64(20..400))),
                1 => Impairment::BlockForward,
                2 => Impairment::BlockReturn,
                3 => Impairment::Blackhole,
                _ => Impairment::Reset,
            };
            Fault::Link(hop, impairment, duration)
        }
        9 | 10 => {
            let malfunction = match rng.u32(..3) {
                // No further draw, so that the plans of earlier seeds keep their other faults.
                0 if duration.as_millis() % 2 == 1 => Malfunction::Silent,
                0 => Malfunction::Unavailable,
                1 => Malfunction::LosesResponses,
                _ if duration.as_millis() % 2 == 1 => return Fault::OddWriter(duration),
                _ => Malfunction::DiscardsHistory,
            };
            Fault::Store(malfunction, duration)
        }
        11..=13 => Fault::Misbehave(upstream, rng.usize(1..8)),
        14 => Fault::Slow(upstream, duration),
        // No further draw, as above.
        _ if duration.as_millis() % 2 == 1 => Fault::Harm(HARM_TIME),
        _ => Fault::Crash(upstream, duration),
    }
}
