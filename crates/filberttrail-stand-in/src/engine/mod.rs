//! The stand-in engine: continuous batches, a prefix cache, cold starts that collapse, and ranks
//! that run in lock-step on an expert map.

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

/// The stand-in engine.
#[derive(Clone)]
pub struct Engine {
    shared: Shared,
}

#[derive(Deserialize)]
struct Call {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    /// Higher goes first.
    #[serde(default)]
    priority: u32,
    /// The first word of a stream that is resumed.
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
    /// Turns cold; running answers break off unless `silent`.
    cold: bool,
    silent: bool,
    /// Stalls every step for so long.
    stall_ms: u64,
}

fn default_tokens() -> u64 {
    16
}

impl Engine {
    /// Makes an engine that has just started, and is cold.
    pub fn new(settings: Settings) -> Self {
        Self { shared: Shared::new(settings) }
    }

    /// Returns what was counted.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Serves until told to stop.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let stepping = tokio::spawn(batch::run_steps(self.shared.clone()));
        let leading = tokio::spawn(lockstep::lead(self.shared.clone()));
        crate::serve(listener, stop, move |request| self.clone().answer(request)).await;
        stepping.abort();
        leading.abort();
    }

    async fn answer(self, request: Request) -> Response {
        let path = request.uri().path().to_string();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            (Method::GET, "/load") => json(StatusCode::OK, &self.shared.report()),
            (Method::GET, "/events") => {
                let after = crate::query(&request, "after").and_then(|text| text.parse().ok());
                json(StatusCode::OK, &self.shared.events(after.unwrap_or(0)))
            }
            (Method::GET, "/control/counts") => json(StatusCode::OK, &self.counts()),
            (Method::GET, "/control/steps") => {
                json(StatusCode::OK, &self.shared.lock().steps.clone())
            }
            (Method::PUT, "/control/script") => {
                let body = crate::body(request.into_body()).await;
                let script: Script = serde_json::from_slice(&body).unwrap_or_default();
                self.play(&script);
                json(StatusCode::OK, &"played")
            }
            (Method::POST, "/orders/stage") => lockstep::stage(&self.shared, request).await,
            (Method::POST, "/orders/activate") => lockstep::activate(&self.shared, request).await,
            (Method::POST, "/step") => lockstep::step(&self.shared, request).await,
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    fn play(&self, script: &Script) {
        if script.cold {
            self.shared.turn_cold(script.silent);
        }
        self.shared.lock().stall = Duration::from_millis(script.stall_ms);
    }

    async fn complete(&self, request: Request) -> Response {
        let life = request
            .headers()
            .get(ENGINE_INCARNATION_HEADER)
            .and_then(|life| life.to_str().ok()?.parse().ok());
        let chat = request.uri().path().contains("chat");
        let body = crate::body(request.into_body()).await;
        let Ok(call) = serde_json::from_slice::<Call>(&body) else {
            return json(StatusCode::BAD_REQUEST, &"not a completion");
        };
        let prompt = if chat {
            call.messages.iter().map(|message| message.content.as_str()).collect()
        } else {
            call.prompt
        };
        let from = if call.stream { call.resume_from } else { 0 };
        let work = batch::Work { from, words: call.max_tokens };
        let guest = match batch::Guest::new(self.shared.clone(), &prompt, call.priority, life) {
            Ok(guest) => guest,
            Err(life) => {
                let mut refusal = json(StatusCode::PRECONDITION_FAILED, &"meant for another life");
                refusal.headers_mut().insert(ENGINE_INCARNATION_HEADER, life.into());
                return refusal;
            }
        };
        let (sender, body) = Body::channel(64);
        if !call.stream {
            let (done, answered) = tokio::sync::oneshot::channel();
            tokio::spawn(async move {
                let whole = batch::generate(guest, work, |_| async { true });
                if whole.await {
                    let _ = done.send(text::answer(&prompt, call.max_tokens));
                }
            });
            return match answered.await {
                Ok(text) => json(StatusCode::OK, &whole_answer(chat, &text)),
                Err(_) => json(StatusCode::SERVICE_UNAVAILABLE, &"lost"),
            };
        }
        tokio::spawn(async move {
            let whole = batch::generate(guest, work, |index| {
                let piece = streamed_piece(chat, &text::word(&prompt, index));
                let sender = sender.clone();
                async move { sender.send(Ok(piece)).await.is_ok() }
            });
            let last = match whole.await {
                true => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                false => Err(filberttrail_web::body::Truncated),
            };
            let _ = sender.send(last).await;
        });
        let mut response = Response::new(body);
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        response
    }
}

fn whole_answer(chat: bool, text: &str) -> serde_json::Value {
    let choice = if chat {
        serde_json::json!({ "index": 0, "message": { "role": "assistant", "content": text } })
    } else {
        serde_json::json!({ "index": 0, "text": text })
    };
    serde_json::json!({ "choices": [choice] })
}

fn streamed_piece(chat: bool, word: &str) -> Bytes {
    if chat {
        let piece =
            serde_json::json!({ "choices": [{ "index": 0, "delta": { "content": word } }] });
        return format!("data: {piece}\n\n").into();
    }
    format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{word}\"}}]}}\n\n").into()
}
