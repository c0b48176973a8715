//! Lock-step groups: the leader stamps each step with the version of the expert map. A rank that
//! has not staged this version holds the group: the step is not run, and the leader tries it again.

use super::state::{STEPS_KEPT, Shared, Step};
use filberttrail_web::server::json;
use filberttrail_web::{Body, Client, Request, Response};
use hyper::StatusCode;
use serde::Deserialize;
use std::time::Duration;

/// Time between the leader's steps, longer than in a real engine.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that the leader waits for the response of a rank.
const RANK_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Order {
    fence: u64,
    version: u64,
    #[serde(default)]
    map: serde_json::Value,
}

/// Handles an order to stage an expert map. The four newest versions are kept.
pub async fn handle_stage(shared: &Shared, request: Request) -> Response {
    handle_order(shared, request, |shared, order| {
        let mut state = shared.lock();
        state.maps.insert(order.version, order.map);
        while state.maps.len() > 4 {
            state.maps.pop_first();
        }
    })
    .await
}

/// Handles an order to activate an expert map: the leader stamps its version on each step from the
/// next one on.
pub async fn handle_activate(shared: &Shared, request: Request) -> Response {
    handle_order(shared, request, |shared, order| shared.lock().active = order.version).await
}

async fn handle_order(
    shared: &Shared,
    request: Request,
    apply: impl FnOnce(&Shared, Order),
) -> Response {
    let body = crate::read_body(request.into_body()).await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return json(StatusCode::BAD_REQUEST, &"not an order");
    };
    {
        let mut state = shared.lock();
        if shared.settings.checks_fences && order.fence < state.fence {
            state.counts.old_orders += 1;
            return json(StatusCode::CONFLICT, &"old fence");
        }
        state.fence = state.fence.max(order.fence);
    }
    apply(shared, order);
    json(StatusCode::OK, &"obeyed")
}

/// Runs the steps of the group if this engine is the leader, that is, rank 0.
pub async fn run_leader(shared: Shared) {
    if shared.settings.rank != 0 {
        return;
    }
    let client = Client::new();
    let leader = fastrand::u64(..) >> 12;
    let mut number = 0;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let version = shared.lock().active;
        if version == 0 {
            continue;
        }
        let step = Step { leader, number, version };
        // Ranks that have committed a step do not run it again, so it is not tried with another map.
        if run_on_all(&shared, &client, step).await != Outcome::Held {
            number += 1;
        }
    }
}

/// What became of a step.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// No rank has run it.
    Held,
    /// Some ranks have run it.
    Broken,
    /// All ranks have run it.
    Ran,
}

fn has_map(shared: &Shared, version: u64) -> bool {
    shared.settings.uses_newest_map || shared.lock().maps.contains_key(&version)
}

/// Runs a step on all ranks in two phases: first asks each whether it has the map, then has all of
/// them commit the step.
async fn run_on_all(shared: &Shared, client: &Client, step: Step) -> Outcome {
    if !has_map(shared, step.version) {
        shared.lock().counts.held += 1;
        return Outcome::Held;
    }
    for commit in [false, true] {
        let failed = if commit { Outcome::Broken } else { Outcome::Held };
        for peer in &shared.settings.peers {
            let body = serde_json::json!({ "step": step, "commit": commit }).to_string();
            let request =
                hyper::Request::post("/step").header("host", "rank").body(Body::new(body));
            let Ok(request) = request else { return failed };
            let response = client.fetch(*peer, request, RANK_TIMEOUT, 4_096).await;
            if !response.is_ok_and(|response| response.status() == StatusCode::OK) {
                shared.lock().counts.held += 1;
                return failed;
            }
        }
    }
    record_step(shared, step);
    Outcome::Ran
}

#[derive(Deserialize)]
struct StepRequest {
    step: Step,
    commit: bool,
}

/// Handles a step request of the leader: responds whether this rank has the map version, and runs
/// the step if it is the commit.
pub async fn handle_step(shared: &Shared, request: Request) -> Response {
    let body = crate::read_body(request.into_body()).await;
    let Ok(call) = serde_json::from_slice::<StepRequest>(&body) else {
        return json(StatusCode::BAD_REQUEST, &"not a step");
    };
    if !has_map(shared, call.step.version) {
        return json(StatusCode::CONFLICT, &"held");
    }
    if call.commit {
        record_step(shared, call.step);
    }
    json(StatusCode::OK, &"ready")
}

fn record_step(shared: &Shared, mut step: Step) {
    let mut state = shared.lock();
    if shared.settings.uses_newest_map {
        step.version = state.maps.keys().next_back().copied().unwrap_or_default();
    }
    state.steps.push_back(step);
    if state.steps.len() > STEPS_KEPT {
        state.steps.pop_front();
    }
}
