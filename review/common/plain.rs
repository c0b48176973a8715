//! Stand-in of an engine of a plain service: answers each request once, after some work.

use super::http::{self, Request, Wire};
use super::store::Store;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    zone: String,
    slots: usize,
    work: Duration,
    /// Ids of the requests that it ran, with their times.
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Ids of the requests that it ran, with the `Tenant` that they named.
    pub tenants: Arc<Mutex<Vec<(String, Option<String>)>>>,
    running: Arc<Mutex<usize>>,
    /// Value of the `Keep-Alive` header of its answers, if they have one.
    keep_alive: Arc<Mutex<Option<String>>>,
    born: u64,
}

impl Plain {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
        store: &Store,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let plain = Self {
            id: id.to_string(),
            address,
            service: service.to_string(),
            zone: zone.to_string(),
            slots,
            work,
            runs: Arc::default(),
            tenants: Arc::default(),
            running: Arc::default(),
            keep_alive: Arc::default(),
            born,
        };
        let serving = plain.clone();
        http::serve(listener, move |request, wire| serving.handle(request, wire));
        let (beating, store) = (plain.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1u64.. {
                store.put("servers", &beating.id, &beating.entry(sequence));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        plain
    }

    pub fn set_keep_alive(&self, value: &str) {
        *self.keep_alive.lock().unwrap() = Some(value.to_string());
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    fn handle(&self, request: &Request, wire: &mut Wire) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let headers = [("Request-Id", id.as_str()), ("Instance-Id", self.id.as_str())];
        if request.header("expected-instance").is_some_and(|wanted| wanted != self.id) {
            return http::respond(wire, 421, &headers, "");
        }
        {
            let mut running = self.running.lock().unwrap();
            if *running >= self.slots {
                drop(running);
                let headers = [headers[0], ("Not-Executed", "1")];
                return http::respond(wire, 503, &headers, "");
            }
            *running += 1;
        }
        self.runs.lock().unwrap().push((id.clone(), Instant::now()));
        let tenant = request.header("tenant").map(str::to_string);
        self.tenants.lock().unwrap().push((id.clone(), tenant));
        thread::sleep(self.work);
        *self.running.lock().unwrap() -= 1;
        let keep_alive = self.keep_alive.lock().unwrap().clone();
        let mut headers = vec![headers[0], ("Server-Signature", "s.plain")];
        if let Some(value) = &keep_alive {
            headers.push(("Keep-Alive", value));
        }
        http::respond(wire, 200, &headers, &format!("done {id}"))
    }
}
