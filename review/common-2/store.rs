//! A stand-in of the platform's store: objects by kind and name, conditional writes, lists and watches.
//! It answers as PROTOCOL.md says, and always soundly.

use crate::http::{self, Request};
use crate::json::Json;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    revisions: BTreeMap<(String, String), u64>,
    /// Revision, kind, object, and whether it was removed.
    history: Vec<(u64, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().unwrap().revision = 1;
        let serving = shared.clone();
        let address = http::serve(move |request, stream| handle(&serving, request, stream));
        Self { address, shared }
    }

    pub fn write(&self, kind: &str, name: &str, specification: &str) {
        write(&mut self.shared.0.lock().unwrap(), kind, name, specification);
        self.shared.1.notify_all();
    }
}

fn write(state: &mut State, kind: &str, name: &str, specification: &str) -> String {
    state.revision += 1;
    let revision = state.revision;
    let object = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createRevision\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"specification\":{specification},\"status\":null}}"
    );
    let key = (kind.to_string(), name.to_string());
    state.objects.insert(key.clone(), object.clone());
    state.revisions.insert(key, revision);
    state.history.push((revision, kind.to_string(), object.clone(), false));
    object
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (status, body) = answer(shared, request);
    let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    http::write_answer(stream, status, headers, body.as_bytes())?;
    Ok(true)
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Request) -> (u16, String) {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(own, _)| *own == name).map(|(_, value)| value.to_string())
    };
    let Some(rest) = path.strip_prefix("/filberttrail/objects/") else {
        return (404, "{}".to_string());
    };
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    let (mutex, changed) = shared;
    let mut state = mutex.lock().unwrap();
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    match (request.method.as_str(), name) {
        ("GET", None) => match parameter("watch").and_then(|after| after.parse::<u64>().ok()) {
            Some(after) => {
                let wait = parameter("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, own, ..)| *revision > after && own == kind)
                        .map(|(_, _, object, removed)| {
                            format!("{{\"removed\":{removed},\"object\":{object}}}")
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        let events = events.join(",");
                        let text =
                            format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                        return (200, text);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            None => {
                let all = state.objects.iter().filter(|((own, _), _)| own == kind);
                let items: Vec<&str> = all.map(|(_, object)| object.as_str()).collect();
                let (items, revision) = (items.join(","), state.revision);
                (
                    200,
                    format!("{{\"items\":[{items}],\"more\":false,\"storeRevision\":{revision}}}"),
                )
            }
        },
        ("GET", Some(name)) => match state.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => (200, object.clone()),
            None => (404, "{}".to_string()),
        },
        ("POST", None) => {
            let name = body.get("metadata").get("name").text().to_string();
            if let Some(object) = state.objects.get(&(kind.to_string(), name.clone())) {
                return (409, object.clone());
            }
            let object = write(&mut state, kind, &name, &body.get("specification").to_string());
            changed.notify_all();
            (200, object)
        }
        ("PUT", Some(name)) => {
            let key = (kind.to_string(), name.to_string());
            let Some(object) = state.objects.get(&key) else { return (404, "{}".to_string()) };
            let expected = body.get("metadata").get("revision").number();
            if expected.is_some_and(|expected| state.revisions.get(&key) != Some(&expected)) {
                return (409, object.clone());
            }
            let object = write(&mut state, kind, name, &body.get("specification").to_string());
            changed.notify_all();
            (200, object)
        }
        ("DELETE", Some(name)) => {
            let key = (kind.to_string(), name.to_string());
            let Some(object) = state.objects.get(&key).cloned() else {
                return (404, "{}".to_string());
            };
            let expected = parameter("revision").and_then(|text| text.parse::<u64>().ok());
            if expected.is_some_and(|expected| state.revisions.get(&key) != Some(&expected)) {
                return (409, object);
            }
            state.objects.remove(&key);
            state.revisions.remove(&key);
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, kind.to_string(), object, true));
            changed.notify_all();
            (200, "{}".to_string())
        }
        _ => (400, "{}".to_string()),
    }
}
