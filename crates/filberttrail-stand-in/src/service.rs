//! The stand-in service: counts how often each action runs, which exposes duplicate runs.

use filberttrail_web::server::json;
use filberttrail_web::{Body, Request, Response};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// Injected faults, set by `PUT /control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each action, in milliseconds.
    pub delay_ms: u64,
    /// Number of next actions that run, but whose response breaks off before its body.
    pub break_off: u32,
    /// Number of next actions that run, but get no response.
    pub silent: u32,
    /// Body of the actions that end the instance which runs them; it is back after
    /// [`RESTART_DELAY`]. Empty for none.
    pub crash_on: String,
}

/// Time from the end of an instance until it listens again.
pub const RESTART_DELAY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    faults: Faults,
    actions: BTreeMap<String, u64>,
    reads: u64,
}

/// The stand-in service; clones share its state.
#[derive(Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Creates a service whose counters are empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often each action ran. The key is the kind of action and the request's
    /// idempotency key or, without one, its id.
    pub fn actions(&self) -> BTreeMap<String, u64> {
        self.state().actions.clone()
    }

    /// Serves requests until `stop` is set.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let Ok(address) = listener.local_addr() else { return };
        let mut listener = listener;
        loop {
            let crash = Arc::new(Notify::new());
            let (service, crashes) = (self.clone(), crash.clone());
            let handler = move |request| service.clone().handle(request, crashes.clone());
            tokio::select! {
                () = crate::serve(listener, stop.clone(), handler) => return,
                () = crash.notified() => {}
            }
            tokio::time::sleep(RESTART_DELAY).await;
            let Ok(next) = TcpListener::bind(address).await else { return };
            listener = next;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request, crash: Arc<Notify>) -> Response {
        let path = request.uri().path().trim_matches('/').to_string();
        let segments: Vec<&str> = path.split('/').collect();
        match (request.method().clone(), segments.as_slice()) {
            (Method::GET, ["control", "counts"]) => json(StatusCode::OK, &self.actions()),
            (Method::PUT, ["control", "faults"]) => self.set_faults(request).await,
            (Method::GET, ["meters", link]) => self.read_meter(link),
            (Method::POST, ["payments"]) => self.run_action("payment", request, &crash).await,
            (Method::POST, ["links", _, "energise"]) => {
                self.run_action("energise", request, &crash).await
            }
            (Method::POST, ["links", _, "disconnect"]) => {
                self.run_action("disconnect", request, &crash).await
            }
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    async fn set_faults(&self, request: Request) -> Response {
        match serde_json::from_slice(&crate::read_body(request.into_body()).await) {
            Ok(faults) => {
                self.state().faults = faults;
                json(StatusCode::OK, &"set")
            }
            Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn read_meter(&self, link: &str) -> Response {
        let mut state = self.state();
        state.reads += 1;
        json(StatusCode::OK, &serde_json::json!({ "link": link, "reads": state.reads }))
    }

    async fn run_action(&self, kind: &str, request: Request, crash: &Notify) -> Response {
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let id = header("idempotency-key").or(header("x-request-id")).unwrap_or("none").to_string();
        let body = crate::read_body(request.into_body()).await;
        let action = format!("{kind}:{id}");
        let (faults, count) = {
            let mut state = self.state();
            let faults = state.faults.clone();
            state.faults.break_off = faults.break_off.saturating_sub(1);
            state.faults.silent = faults.silent.saturating_sub(1);
            let count = state.actions.entry(action.clone()).or_default();
            *count += 1;
            (faults, *count)
        };
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.silent > 0 {
            tokio::time::sleep(Duration::from_secs(3_600)).await;
        }
        let crashes = !faults.crash_on.is_empty() && body == faults.crash_on.as_bytes();
        if crashes {
            crash.notify_one();
        }
        if faults.break_off > 0 || crashes {
            let (_, body) = Body::channel(1);
            let mut response = Response::new(body);
            response.headers_mut().insert("content-length", 64.into());
            return response;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let text = serde_json::json!({ "action": action, "count": count, "request": body });
        json(StatusCode::CREATED, &text)
    }
}
