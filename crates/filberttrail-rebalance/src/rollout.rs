//! Decides the next step of a plan from the reports of the ranks.
//!
//! Invariants: no rank is armed before the hold on the pass of the switch is reported to be in
//! force, and the hold is released only when every rank is reported as armed. Orders that arrive
//! late or twice have no effect, because each names its epoch, version and pass. Once a rank is
//! armed the plan is only moved forward and not rolled back, since an order to disarm could
//! overtake a late order to arm; `find_obsolete_arming` has the one exception.

use crate::order::Order;
use crate::plan::Plan;
use crate::report::{Pass, Report, Version};

/// Number of passes by which a switch is scheduled ahead. Placing a hold takes some milliseconds,
/// and a pass takes some tens of milliseconds.
pub const SWITCH_LEAD: Pass = 2;
/// Number of passes by which a switch is scheduled ahead while orders get no responses. It leaves
/// time for retries, so that all ranks are armed before the group reaches the hold and the group
/// does not stall there.
pub const SWITCH_LEAD_LOSSY: Pass = 14;

/// The next step of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send these orders, each paired with its rank.
    Send(Vec<(usize, Order)>),
    /// Schedule the switch for this pass and write the plan to the store.
    Schedule(Pass),
    /// Wait for new reports.
    Wait,
    /// Every rank uses the new map.
    Done,
    /// The plan is out of date: the group is closed or in a later epoch.
    Stale,
}

/// Returns the next step of a plan. `reports` has one element per rank, which is `None` for a rank
/// that did not respond. `switch_lead` is the number of passes by which a switch is scheduled
/// ahead.
pub fn next_step(plan: &Plan, reports: &[Option<Report>], switch_lead: Pass) -> Step {
    let known: Vec<&Report> = reports.iter().flatten().collect();
    if known.iter().any(|report| report.epoch > plan.epoch || !report.open) {
        return Step::Stale;
    }
    // A store that was restored from a copy may hold a plan that a later one has replaced.
    if known.iter().any(|report| newest_version(report) > plan.version) {
        return Step::Stale;
    }
    let obsolete = find_obsolete_arming(&known, plan.version);
    if !obsolete.is_empty() {
        return Step::Send(obsolete);
    }
    // Ranks that are armed for an earlier map accept no other one until they have switched to it.
    if let Some(earlier) = adopt(reports, plan.epoch, plan.holder)
        && earlier.version < plan.version
    {
        return next_step(&earlier, reports, switch_lead);
    }
    let all_known = known.len() == reports.len();
    let switched = |report: &Report| report.map == plan.version;
    if all_known && known.iter().all(|report| switched(report)) {
        return Step::Done;
    }
    let latest_pass = known.iter().map(|report| report.pass).max().unwrap_or_default();
    let Some(switch_pass) = plan.switch_pass else {
        return prepare_ranks(plan, reports, latest_pass.saturating_add(switch_lead));
    };
    let armed = |report: &Report| report.armed == Some((plan.version, switch_pass));
    let committed = known.iter().any(|report| armed(report) || switched(report));
    let orphaned = find_orphaned_hold(reports, Some(switch_pass));
    if !committed && all_known && plan.is_adopted() {
        // Without its map the plan cannot be scheduled again.
        return Step::Stale;
    }
    if !committed && all_known {
        if let Some((_, pass)) = orphaned {
            return Step::Schedule(pass);
        }
        if latest_pass >= switch_pass {
            return Step::Schedule(latest_pass.saturating_add(switch_lead));
        }
    }
    if let Some((rank, pass)) = orphaned.filter(|_| committed) {
        return Step::Send(vec![(rank, Order::Go { pass })]);
    }
    let holder =
        known.iter().find(|report| report.held == Some(switch_pass)).map(|report| report.rank);
    let unarmed: Vec<(usize, Order)> = (0..reports.len())
        .filter(|rank| !reports[*rank].as_ref().is_some_and(armed))
        .map(|rank| (rank, Order::Arm { version: plan.version, pass: switch_pass }))
        .collect();
    match holder {
        Some(_) if !unarmed.is_empty() => Step::Send(unarmed),
        Some(holder) => Step::Send(vec![(holder, Order::Go { pass: switch_pass })]),
        // The hold is released, and the switch takes place when the next pass begins.
        None if committed || latest_pass >= switch_pass => Step::Wait,
        None => Step::Send(vec![(plan.holder, Order::Hold { pass: switch_pass })]),
    }
}

/// Returns the orders that disarm ranks which are armed for an earlier map that another rank can no
/// longer switch to, because it has prepared a later one. Two coordinators bring that about if the
/// store is restored from a copy that lacks the plan of the first.
///
/// Disarming is safe here although a late order may arm the rank again: the first coordinator
/// releases its hold only after all ranks were armed, which that other rank never will be. Once the
/// rank has prepared the later map, it rejects the late order.
fn find_obsolete_arming(known: &[&Report], version: Version) -> Vec<(usize, Order)> {
    let earlier = |report: &&Report| {
        let (armed, _) = report.armed.filter(|(armed, _)| *armed < version)?;
        Some((report.rank, armed))
    };
    let armed: Vec<(usize, Version)> = known.iter().filter_map(earlier).collect();
    let abandoned = |armed: Version| {
        known.iter().any(|report| report.armed.is_none() && newest_version(report) > armed)
    };
    let obsolete = armed.into_iter().filter(|(_, armed)| abandoned(*armed));
    obsolete.map(|(rank, version)| (rank, Order::Disarm { version })).collect()
}

/// Returns the highest map version that a rank uses, has prepared or is armed for.
fn newest_version(report: &Report) -> Version {
    let armed = report.armed.map(|(version, _)| version);
    [Some(report.map), report.prepared, armed].into_iter().flatten().max().unwrap_or_default()
}

/// Returns a plan that completes the switch for which a rank is armed although the store has no
/// plan for it, as after a restore of the store. The plan has no map, because ranks are armed only
/// after all ranks have prepared theirs. `None` if a rank did not report, or has prepared a later
/// map instead.
pub fn adopt(reports: &[Option<Report>], epoch: u64, holder: usize) -> Option<Plan> {
    let known: Vec<&Report> =
        reports.iter().flatten().filter(|report| report.epoch == epoch).collect();
    let (version, pass) = known.iter().filter_map(|report| report.armed).max()?;
    if known.len() < reports.len() || known.iter().any(|report| newest_version(report) != version) {
        return None;
    }
    let map = Default::default();
    Some(Plan { epoch, version, map, switch_pass: Some(pass), holder, writer: String::new() })
}

/// Finds the earliest hold on a pass other than `switch_pass`, as a delayed order may leave one.
/// Returns the rank and the pass of the hold.
///
/// Releasing an orphaned hold directly could race with a switch that is being scheduled for the
/// same pass. Instead, the next switch is scheduled for the pass of the hold and releases it.
pub fn find_orphaned_hold(
    reports: &[Option<Report>],
    switch_pass: Option<Pass>,
) -> Option<(usize, Pass)> {
    let held = reports.iter().flatten().filter_map(|report| Some((report.rank, report.held?)));
    held.filter(|(_, pass)| Some(*pass) != switch_pass).min_by_key(|(_, pass)| *pass)
}

/// Returns the orders for the ranks that have not prepared the map. Once all have, schedules the
/// switch.
fn prepare_ranks(plan: &Plan, reports: &[Option<Report>], switch_pass: Pass) -> Step {
    let ready = |report: &Report| report.prepared == Some(plan.version);
    let missing: Vec<(usize, Order)> = (0..reports.len())
        .filter(|rank| !reports[*rank].as_ref().is_some_and(ready))
        .map(|rank| (rank, Order::Prepare { version: plan.version, map: plan.map.clone() }))
        .collect();
    if !missing.is_empty() {
        return Step::Send(missing);
    }
    let pass = find_orphaned_hold(reports, None).map_or(switch_pass, |(_, pass)| pass);
    Step::Schedule(pass)
}
