//! The stand-in inference engine: continuous batching, a prefix cache, a low capacity after a cold
//! start, and ranks that run their steps in lock-step on a shared expert map.

mod batch;
mod lockstep;
mod state;

pub use state::{Counts, Event, Settings, Step};

use crate::text;
use bytes::Bytes;
use filberttrail_kernel::id::ENGINE_INCARNATION_HEADER;
use filberttrail_web::server::json;
use filberttrail_web::{Body, Request, Response};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use state::Shared;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The stand-in engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    shared: Shared,
}

#[derive(Deserialize)]
struct CompletionCall {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    /// Scheduling priority; requests with a higher one join the batch first.
    #[serde(default)]
    priority: u32,
    /// Index of the first word to send when a stream is resumed.
    #[serde(default)]
    resume_from: u64,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Script {
    /// Makes the engine cold, as a restart does. Running requests fail unless `silent` is set.
    cold: bool,
    silent: bool,
    /// Extra duration of the next step, in milliseconds.
    stall_ms: u64,
}

fn default_tokens() -> u64 {
    16
}

impl Engine {
    /// Creates an engine in the cold state of a fresh start.
    pub fn new(settings: Settings) -> Self {
        Self { shared: Shared::new(settings) }
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Serves requests and runs the step loops until `stop` is set.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let batch_steps = tokio::spawn(batch::run_steps(self.shared.clone()));
        let group_steps = tokio::spawn(lockstep::run_leader(self.shared.clone()));
        crate::serve(listener, stop, move |request| self.clone().handle(request)).await;
        batch_steps.abort();
        group_steps.abort();
    }

    async fn handle(self, request: Request) -> Response {
        let path = request.uri().path().to_string();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            (Method::GET, "/load") => json(StatusCode::OK, &self.shared.report()),
            (Method::GET, "/events") => {
                let after =
                    crate::query_value(&request, "after").and_then(|text| text.parse().ok());
                json(StatusCode::OK, &self.shared.events(after.unwrap_or(0)))
            }
            (Method::GET, "/control/counts") => json(StatusCode::OK, &self.counts()),
            (Method::GET, "/control/steps") => {
                json(StatusCode::OK, &self.shared.lock().steps.clone())
            }
            (Method::PUT, "/control/script") => {
                let body = crate::read_body(request.into_body()).await;
                let script: Script = serde_json::from_slice(&body).unwrap_or_default();
                self.apply_script(&script);
                json(StatusCode::OK, &"played")
            }
            (Method::POST, "/orders/stage") => lockstep::handle_stage(&self.shared, request).await,
            (Method::POST, "/orders/activate") => {
                lockstep::handle_activate(&self.shared, request).await
            }
            (Method::POST, "/step") => lockstep::handle_step(&self.shared, request).await,
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    fn apply_script(&self, script: &Script) {
        if script.cold {
            self.shared.turn_cold(script.silent);
        }
        self.shared.lock().stall = Duration::from_millis(script.stall_ms);
    }

    async fn complete(&self, request: Request) -> Response {
        let incarnation = request
            .headers()
            .get(ENGINE_INCARNATION_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let chat = request.uri().path().contains("chat");
        let body = crate::read_body(request.into_body()).await;
        let Ok(call) = serde_json::from_slice::<CompletionCall>(&body) else {
            return json(StatusCode::BAD_REQUEST, &"not a completion");
        };
        let prompt = if chat {
            call.messages.iter().map(|message| message.content.as_str()).collect()
        } else {
            call.prompt
        };
        let from = if call.stream { call.resume_from } else { 0 };
        let work = batch::Work { from, words: call.max_tokens };
        let request = match batch::ActiveRequest::new(
            self.shared.clone(),
            &prompt,
            call.priority,
            incarnation,
        ) {
            Ok(request) => request,
            Err(incarnation) => {
                let mut refused = json(StatusCode::PRECONDITION_FAILED, &"meant for another life");
                refused.headers_mut().insert(ENGINE_INCARNATION_HEADER, incarnation.into());
                return refused;
            }
        };
        let (sender, body) = Body::channel(64);
        if !call.stream {
            let (finished, completion) = tokio::sync::oneshot::channel();
            tokio::spawn(async move {
                let generation = batch::generate(request, work, |_| async { true });
                if generation.await {
                    let _ = finished.send(text::generate(&prompt, call.max_tokens));
                }
            });
            return match completion.await {
                Ok(text) => json(StatusCode::OK, &completion_body(chat, &text)),
                Err(_) => json(StatusCode::SERVICE_UNAVAILABLE, &"lost"),
            };
        }
        tokio::spawn(async move {
            let generation = batch::generate(request, work, |index| {
                let chunk = stream_chunk(chat, &text::generate_word(&prompt, index));
                let sender = sender.clone();
                async move { sender.send(Ok(chunk)).await.is_ok() }
            });
            let last = match generation.await {
                true => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                false => Err(filberttrail_web::body::Truncated),
            };
            let _ = sender.send(last).await;
        });
        let mut response = Response::new(body);
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
        response
    }
}

fn completion_body(chat: bool, text: &str) -> serde_json::Value {
    let choice = if chat {
        serde_json::json!({ "index": 0, "message": { "role": "assistant", "content": text } })
    } else {
        serde_json::json!({ "index": 0, "text": text })
    };
    serde_json::json!({ "choices": [choice] })
}

fn stream_chunk(chat: bool, word: &str) -> Bytes {
    if chat {
        let chunk =
            serde_json::json!({ "choices": [{ "index": 0, "delta": { "content": word } }] });
        return format!("data: {chunk}\n\n").into();
    }
    format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{word}\"}}]}}\n\n").into()
}
