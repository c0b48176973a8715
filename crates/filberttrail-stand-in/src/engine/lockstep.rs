//! Ranks in lock-step: the leader stamps each step with a map version; a rank without it holds.

use super::state::{STEPS_KEPT, Shared, Step};
use filberttrail_web::server::json;
use filberttrail_web::{Body, Client, Request, Response};
use hyper::StatusCode;
use serde::Deserialize;
use std::time::Duration;

/// The time between the leader's steps; the stand-in takes fewer than a real engine would.
const STEP: Duration = Duration::from_millis(100);
/// How long the leader waits for a rank's answer.
const PATIENCE: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Order {
    fence: u64,
    version: u64,
    #[serde(default)]
    map: serde_json::Value,
}

/// Stages a map.
pub async fn stage(shared: &Shared, request: Request) -> Response {
    with_order(shared, request, |shared, order| {
        let mut state = shared.lock();
        state.maps.insert(order.version, order.map);
        while state.maps.len() > 4 {
            state.maps.pop_first();
        }
    })
    .await
}

/// Activates a map: from the next step on, the leader stamps its version.
pub async fn activate(shared: &Shared, request: Request) -> Response {
    with_order(shared, request, |shared, order| shared.lock().active = order.version).await
}

async fn with_order(
    shared: &Shared,
    request: Request,
    obey: impl FnOnce(&Shared, Order),
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
    obey(shared, order);
    json(StatusCode::OK, &"obeyed")
}

/// Runs the leader's steps over all ranks.
pub async fn lead(shared: Shared) {
    if shared.settings.rank != 0 {
        return;
    }
    let client = Client::new();
    let leader = fastrand::u64(..) >> 12;
    let mut number = 0;
    loop {
        tokio::time::sleep(STEP).await;
        let version = shared.lock().active;
        if version == 0 {
            continue;
        }
        let step = Step { leader, number, version };
        if ask_all(&shared, &client, step).await {
            number += 1;
        }
    }
}

fn has_map(shared: &Shared, version: u64) -> bool {
    shared.settings.uses_newest_map || shared.lock().maps.contains_key(&version)
}

/// Asks every rank whether it can run a step, and then has all of them run it.
async fn ask_all(shared: &Shared, client: &Client, step: Step) -> bool {
    if !has_map(shared, step.version) {
        shared.lock().counts.held += 1;
        return false;
    }
    for commit in [false, true] {
        for peer in &shared.settings.peers {
            let body = serde_json::json!({ "step": step, "commit": commit }).to_string();
            let request =
                hyper::Request::post("/step").header("host", "rank").body(Body::new(body));
            let Ok(request) = request else { return false };
            let answer = client.fetch(*peer, request, PATIENCE, 4_096).await;
            if !answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                shared.lock().counts.held += 1;
                return false;
            }
        }
    }
    run(shared, step);
    true
}

#[derive(Deserialize)]
struct StepCall {
    step: Step,
    commit: bool,
}

/// Answers the leader: whether this rank has the version, and, on commit, runs the step.
pub async fn step(shared: &Shared, request: Request) -> Response {
    let body = crate::read_body(request.into_body()).await;
    let Ok(call) = serde_json::from_slice::<StepCall>(&body) else {
        return json(StatusCode::BAD_REQUEST, &"not a step");
    };
    if !has_map(shared, call.step.version) {
        return json(StatusCode::CONFLICT, &"held");
    }
    if call.commit {
        run(shared, call.step);
    }
    json(StatusCode::OK, &"ready")
}

fn run(shared: &Shared, mut step: Step) {
    let mut state = shared.lock();
    if shared.settings.uses_newest_map {
        step.version = state.maps.keys().next_back().copied().unwrap_or_default();
    }
    state.steps.push_back(step);
    if state.steps.len() > STEPS_KEPT {
        state.steps.pop_front();
    }
}
