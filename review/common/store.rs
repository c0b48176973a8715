//! Stand-in of the platform's store: objects by kind and name, conditional writes, watches, and a restore
//! from a copy.

use super::http::{self, Request, Wire};
use super::json::{Json, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const ROOT: &str = "/filberttrail/objects/";
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
}

struct Change {
    revision: u64,
    kind: String,
    removed: bool,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    era: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    forgotten_until: u64,
    away: bool,
    copies: Vec<(Instant, u64, BTreeMap<(String, String), Object>)>,
    writes: Vec<(Instant, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},\"specification\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.created,
        object.specification
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, specification: String) {
        let key = (kind.to_string(), name.to_string());
        let created = match self.objects.get(&key) {
            Some(known) if known.specification == specification => return,
            Some(known) => known.created,
            None => self.revision + 1,
        };
        self.revision += 1;
        let object = Object { revision: self.revision, created, specification };
        let text = render(name, &object);
        self.objects.insert(key, object);
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_string(),
            removed: false,
            text,
        });
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(mut object) = self.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        let text = render(name, &object);
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_string(),
            removed: true,
            text,
        });
        true
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, era: 1, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        http::serve(listener, move |request, wire| serving.handle(request, wire));
        store
    }

    /// Writes as the operator and the engines do.
    ///
    /// Does nothing while the store is away.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return;
        }
        state.put(kind, name, specification.to_string());
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state
            .objects
            .get(&(kind.to_string(), name.to_string()))
            .map(|object| object.specification.clone())
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.objects.keys().filter(|(own, _)| own == kind).map(|(_, name)| name.clone()).collect()
    }

    /// Returns the writes of the system's processes, oldest first.
    pub fn writes(&self) -> Vec<(Instant, String)> {
        self.shared.0.lock().unwrap().writes.clone()
    }

    /// Keeps a copy of the objects as they are now.
    pub fn copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let copy = (Instant::now(), state.revision, state.objects.clone());
        state.copies.push(copy);
        if state.copies.len() > 40 {
            state.copies.remove(0);
        }
    }

    /// Goes away: resets the connections of all calls, also of watches that wait.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from the newest copy that is at least this old, in a new era. Returns its age.
    pub fn come_back(&self, age: Duration) -> Duration {
        let mut state = self.shared.0.lock().unwrap();
        let copy = state.copies.iter().rev().find(|(at, ..)| at.elapsed() >= age).cloned();
        let (at, revision, objects) = copy.expect("a copy of that age");
        state.revision = revision;
        state.objects = objects;
        state.history.retain(|change| change.revision <= revision);
        state.era += 1;
        state.away = false;
        self.shared.1.notify_all();
        at.elapsed()
    }

    fn handle(&self, request: &Request, wire: &mut Wire) -> bool {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        if state.away {
            return false;
        }
        let Some(rest) = request.path().strip_prefix(ROOT) else {
            drop(state);
            return http::respond(wire, 404, &[], "{}");
        };
        let (kind, name) =
            rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let written = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        if request.method != "GET" {
            let target = name.unwrap_or(written.get("metadata").get("name").text()).to_string();
            let line =
                format!("{} {kind}/{target} {}", request.method, written.get("specification"));
            state.writes.push((Instant::now(), line));
        }
        let stored = |state: &State, name: &str| {
            let object = state.objects.get(&(kind.to_string(), name.to_string()))?;
            Some(render(name, object))
        };
        let (status, body) = match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => {
                let after: u64 =
                    request.query("watch").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 =
                    request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let era = state.era;
                loop {
                    if state.away {
                        return false;
                    }
                    if after < state.forgotten_until || after > state.revision || state.era != era {
                        break (410, "{}".to_string());
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|change| change.kind == kind && change.revision > after)
                        .map(|change| {
                            format!("{{\"removed\":{},\"object\":{}}}", change.removed, change.text)
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        break (
                            200,
                            format!(
                                "{{\"events\":[{}],\"storeRevision\":{revision}}}",
                                events.join(",")
                            ),
                        );
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let after = request.query("afterRevision").unwrap_or("").to_string();
                let mut items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((own, name), _)| own == kind && *name > after)
                    .map(|((_, name), object)| render(name, object))
                    .collect();
                let more = items.len() > PAGE;
                items.truncate(PAGE);
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more\":{more},\"storeRevision\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            ("GET", Some(name)) => {
                stored(&state, name).map_or((404, "{}".to_string()), |text| (200, text))
            }
            ("POST", None) => {
                let name = written.get("metadata").get("name").text().to_string();
                match stored(&state, &name) {
                    Some(text) => (409, text),
                    None => {
                        state.put(kind, &name, written.get("specification").to_string());
                        (200, stored(&state, &name).unwrap_or_default())
                    }
                }
            }
            ("PUT", Some(name)) => {
                match state.objects.get(&(kind.to_string(), name.to_string())).cloned() {
                    None => (404, "{}".to_string()),
                    Some(known) => match written.get("metadata").get("revision").number() {
                        Some(expected) if expected != known.revision => (409, render(name, &known)),
                        _ => {
                            state.put(kind, name, written.get("specification").to_string());
                            (200, stored(&state, name).unwrap_or_default())
                        }
                    },
                }
            }
            ("DELETE", Some(name)) => match state.remove(kind, name) {
                true => (200, "{}".to_string()),
                false => (404, "{}".to_string()),
            },
            _ => (400, "{}".to_string()),
        };
        let era = state.era.to_string();
        drop(state);
        changed.notify_all();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        http::respond(wire, status, &headers, &body)
    }
}
