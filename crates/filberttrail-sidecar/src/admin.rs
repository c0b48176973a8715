//! The sidecar's admin port: liveness, readiness, status and metrics.

use crate::context::Context;
use filberttrail_web::server::json;
use filberttrail_web::{Body, Request, Response};
use hyper::StatusCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Handles a request to the admin port.
pub async fn handle_request(context: Arc<Context>, request: Request) -> Response {
    let load = context.load();
    match request.uri().path() {
        "/live" => json(StatusCode::OK, &"live"),
        "/ready" if load.ready => json(StatusCode::OK, &"ready"),
        "/ready" => json(StatusCode::SERVICE_UNAVAILABLE, &"not ready"),
        "/status" => json(StatusCode::OK, &load),
        "/metrics" => {
            let metrics = &context.metrics;
            metrics.in_flight.set(load.in_flight.into());
            metrics.limit.set(load.limit.into());
            metrics.generation.set(load.generation as i64);
            metrics.condemned.set(context.blame.count_condemned() as i64);
            let counts = context.claims.counts();
            metrics.claim_writes.set(counts.writes.load(Ordering::Relaxed) as i64);
            metrics.claims.set(counts.operations.load(Ordering::Relaxed) as i64);
            Response::new(Body::new(metrics.text()))
        }
        _ => json(StatusCode::NOT_FOUND, &"use /live, /ready, /status or /metrics"),
    }
}
