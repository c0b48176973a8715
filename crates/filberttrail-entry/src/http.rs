//! Handles callers' HTTP requests.

use crate::call::{self, Call, Incoming};
use crate::context::Context;
use crate::{dispatch, response};
use filberttrail_declare::View;
use filberttrail_declare::model::Team;
use filberttrail_limit::body;
use filberttrail_web::server::json;
use filberttrail_web::{Problem, Request, Response};
use hyper::header::{AUTHORIZATION, HeaderMap, WWW_AUTHENTICATE};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Handles a caller's request and records its metrics.
pub async fn handle(context: Arc<Context>, request: Request) -> Response {
    let id = format!("{:08x}-{}", context.incarnation as u32, context.next_number());
    let started = context.clock.now();
    let response = match serve(&context, request, &id).await {
        Ok(response) => response,
        Err(problem) => build_error_response(*problem, &id),
    };
    let status = response.status().as_u16().to_string();
    context.metrics.responses.with_label_values(&[&status]).inc();
    context.metrics.head_seconds.observe((context.clock.now() - started).as_secs_f64());
    response
}

type ServeResult = Result<Response, Box<Problem>>;

fn build_error_response(problem: Problem, id: &str) -> Response {
    log::info!("refuse request={id} status={} cause={}", problem.status, problem.title);
    let unauthorised = problem.status == StatusCode::UNAUTHORIZED.as_u16();
    let mut response = problem.with_request(id).into_response();
    if unauthorised {
        let scheme = hyper::header::HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}

async fn serve(context: &Arc<Context>, request: Request, id: &str) -> ServeResult {
    let Some(view) = context.view() else {
        let problem = Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
            "try again in a moment, or at another entry",
        );
        return Err(Box::new(problem.with_retry_after(Duration::from_secs(1))));
    };
    let team = authorise(&view, request.headers())?;
    let path = request.uri().path().to_string();
    let call = match (request.method().clone(), path.as_str()) {
        (Method::GET, "/v1/models") => return Ok(list_models(&view, &team)),
        (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            call::check_completion(&view, &team, read_request(context, request, id).await?)?
        }
        (_, path) if path.starts_with("/services/") => {
            let name = path.split('/').nth(2).unwrap_or_default();
            call::check_service_call(&view, &team, name, read_request(context, request, id).await?)?
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
            let detail = "use GET for models and POST for completions";
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Box::new(Problem::new(status, "wrong method", detail)));
        }
        _ => {
            let detail = "use /v1/models, /v1/completions, /v1/chat/completions or /services/";
            return Err(Box::new(Problem::new(StatusCode::NOT_FOUND, "no such path", detail)));
        }
    };
    run_call(context, &view, call).await
}

async fn read_request(
    context: &Context,
    request: Request,
    id: &str,
) -> Result<Incoming, Box<Problem>> {
    let settings = &context.settings;
    let (head, body) = request.into_parts();
    let body = body::read(body, settings.body_bytes, settings.body_wait, &context.bodies).await?;
    let id = id.to_string();
    Ok(Incoming { id, method: head.method, uri: head.uri, headers: head.headers, body })
}

async fn run_call(context: &Arc<Context>, view: &View, call: Call) -> ServeResult {
    let max_wait = view.preset.queue_wait();
    let permit = match context.gate.acquire(&call.team, call.weight, max_wait).await {
        Ok(permit) => permit,
        Err(after) => {
            context.metrics.refusals.with_label_values(&["share"]).inc();
            let detail = "the team's share of this entry is in use: come back later";
            let problem = Problem::new(StatusCode::TOO_MANY_REQUESTS, "share in use", detail);
            return Err(Box::new(problem.with_retry_after(after)));
        }
    };
    let upstream_response = dispatch::dispatch(context, &call).await.map_err(Box::new)?;
    Ok(response::respond(upstream_response, &call.id, permit))
}

fn authorise(view: &View, headers: &HeaderMap) -> Result<Team, Box<Problem>> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer ")).map(str::trim);
    let team = key.and_then(|key| view.find_team(key)).cloned();
    team.ok_or_else(|| {
        let detail = "send the team's key as 'Authorization: Bearer KEY'";
        Box::new(Problem::new(StatusCode::UNAUTHORIZED, "unknown key", detail))
    })
}

fn list_models(view: &View, team: &Team) -> Response {
    let models: Vec<serde_json::Value> = view
        .models_of(team)
        .into_iter()
        .map(|model| serde_json::json!({ "id": model, "object": "model" }))
        .collect();
    json(StatusCode::OK, &serde_json::json!({ "object": "list", "data": models }))
}
