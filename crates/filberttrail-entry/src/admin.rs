//! The entry's admin port: liveness, readiness, metrics, status and routing decisions.

use crate::context::Context;
use filberttrail_store::Platform;
use filberttrail_web::server::json;
use filberttrail_web::{Body, Request, Response};
use hyper::StatusCode;
use std::sync::Arc;

/// Handles a request on the admin port.
pub async fn handle(context: Arc<Context>, platform: Arc<Platform>, request: Request) -> Response {
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix("/explain/") {
        return match context.journal.find(id) {
            Some(decisions) => json(StatusCode::OK, &decisions),
            None => json(StatusCode::NOT_FOUND, &"not remembered here: ask the other entries"),
        };
    }
    match path {
        "/live" => json(StatusCode::OK, &"live"),
        "/ready" if context.is_ready() => json(StatusCode::OK, &"ready"),
        "/ready" => json(StatusCode::SERVICE_UNAVAILABLE, &"not ready"),
        "/status" => json(StatusCode::OK, &crate::daemon::status(&context)),
        "/metrics" => {
            let (in_flight, waiting) = context.gate.usage();
            context.metrics.in_flight.set(in_flight.into());
            context.metrics.waiting.set(waiting.into());
            let generation = context.view().map_or(0, |view| view.manifest.generation);
            context.metrics.generation.set(generation as i64);
            context.metrics.condemned.set(context.blame.count_condemned() as i64);
            context.metrics.platform_calls.set(platform.calls() as i64);
            Response::new(Body::new(context.metrics.text()))
        }
        _ => json(StatusCode::NOT_FOUND, &"use /live, /ready, /status, /metrics or /explain/ID"),
    }
}
