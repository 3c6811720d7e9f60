//! Stand-in of the platform: the table of the fleet, and promotion calls.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bergamottrack_operator::serve::{self as http, Handler, Reply, Request};
use hyper::StatusCode;
use serde_json::{Value, json};

/// Table of the fleet, and the promotion calls received.
pub struct Platform {
    started: Instant,
    version: u64,
    /// Rows by key: version, and encoded value.
    rows: BTreeMap<Box<str>, (u64, Box<str>)>,
    /// Answers to the next promotion calls; none for a call that is not answered.
    pub answers: VecDeque<Option<StatusCode>>,
    /// Keys whose next change is performed and not answered.
    pub unanswered: Vec<Box<str>>,
    /// Delay of the answers to reads.
    pub read_delay: Duration,
    /// Entries of backend servers: start of the process by server.
    pub entries: BTreeMap<Box<str>, u64>,
    /// Servers whose promotion was requested.
    pub promoted: Vec<Box<str>>,
}

/// Starts the platform; returns its address too.
pub fn start() -> (Rc<RefCell<Platform>>, SocketAddr) {
    let platform = Rc::new(RefCell::new(Platform {
        started: Instant::now(),
        version: 1,
        rows: BTreeMap::new(),
        answers: VecDeque::new(),
        unanswered: Vec::new(),
        read_delay: Duration::ZERO,
        entries: BTreeMap::new(),
        promoted: Vec::new(),
    }));
    let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let answering = platform.clone();
    let handler: Rc<Handler> =
        Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
            Box::pin(answer(answering.clone(), request))
        });
    monoio::spawn(http::serve_on(listener, handler));
    (platform, address)
}

async fn answer(platform: Rc<RefCell<Platform>>, request: Request) -> Reply {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match &*request.path {
        "/-/rows-get" => {
            let delay = platform.borrow().read_delay;
            let reply = if request.query.contains("table=servers") {
                platform.borrow().read_entries(&request.query)
            } else {
                platform.borrow().read()
            };
            monoio::time::sleep(delay).await;
            reply
        }
        "/-/rows-tx" => {
            let reply = platform.borrow_mut().change(&body);
            if platform.borrow_mut().loses_answer(&body) {
                monoio::time::sleep(Duration::from_secs(3600)).await;
            }
            reply
        }
        "/promotion" => {
            let server = body["instanceId"].as_str().unwrap().into();
            platform.borrow_mut().promoted.push(server);
            let answer = platform.borrow_mut().answers.pop_front().flatten();
            if answer.is_none() {
                monoio::time::sleep(Duration::from_secs(3600)).await;
            }
            Reply::text(answer.unwrap_or_default(), "")
        }
        _ => Reply::text(StatusCode::NOT_FOUND, ""),
    }
}

impl Platform {
    /// Returns the time of the store's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn read(&self) -> Reply {
        let rows = self.rows.iter().map(
            |(key, (version, value))| json!({"key": key, "value": value, "versionNumber": version}),
        );
        let rows: Vec<_> = rows.collect();
        let (version, now) = (self.version, self.now_ms());
        Reply::json(
            StatusCode::OK,
            &json!({"rows": rows, "hasMore": false, "versionNumber": version, "nowMs": now}),
        )
    }

    /// Answers a read of the entries of one server.
    fn read_entries(&self, query: &str) -> Reply {
        let rows = self.entries.iter().filter(|(id, _)| query.contains(&format!("&from={id}&")));
        let rows = rows.map(|(id, born)| {
            let entry = json!({
                "service": "g1", "address": "127.0.0.1:9", "zone": "d1", "slots": 1,
                "state": "ready", "databaseRole": "replica", "born": born,
            });
            json!({"key": id, "value": STANDARD.encode(entry.to_string()), "versionNumber": 1})
        });
        let rows: Vec<_> = rows.collect();
        let (version, now) = (self.version, self.now_ms());
        Reply::json(
            StatusCode::OK,
            &json!({"rows": rows, "hasMore": false, "versionNumber": version, "nowMs": now}),
        )
    }

    fn loses_answer(&mut self, body: &Value) -> bool {
        let entries = body["setKeys"].as_array().into_iter().flatten();
        let keys: Vec<_> = entries.filter_map(|entry| entry["key"].as_str()).collect();
        let lost = self.unanswered.iter().position(|key| keys.contains(&&**key));
        lost.map(|index| self.unanswered.remove(index)).is_some()
    }

    fn change(&mut self, body: &Value) -> Reply {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key = |entry: &Value| -> Box<str> { entry["key"].as_str().unwrap().into() };
        let holds = |entry: &Value| {
            let version = self.rows.get(&key(entry)).map_or(0, |(version, _)| *version);
            entry["versionNumber"].as_u64() == Some(version)
        };
        if !list("precondition").iter().all(holds) {
            return Reply::json(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
        }
        self.version += 1;
        for entry in list("setKeys") {
            let value = entry["value"].as_str().unwrap().into();
            self.rows.insert(key(&entry), (self.version, value));
        }
        for entry in list("remove") {
            self.rows.remove(&key(&entry));
        }
        let (version, now) = (self.version, self.now_ms());
        Reply::json(StatusCode::OK, &json!({"versionNumber": version, "nowMs": now}))
    }
}
