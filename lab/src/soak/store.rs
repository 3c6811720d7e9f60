//! Stand-in for the platform's metadata store and its promotion service.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bergamottrack_operator::{Reply, Request, serve::Handler};
use hyper::StatusCode;
use serde_json::{Value, json};

use super::group::Groups;

/// Maximum time for which a feed request waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether no request is answered.
    pub down: bool,
    /// Delay of each answer; at least 1 ms applies.
    pub delay: Duration,
    /// Number of answers to write transactions still to be lost after the transaction was applied.
    pub lost_answers: u32,
}

#[derive(Clone)]
struct Row {
    value: Box<str>,
    version: u64,
    removed: bool,
}

/// Rows of the store, and the record of calls.
pub struct Store {
    started: Instant,
    version: u64,
    rows: BTreeMap<(Box<str>, Box<str>), Row>,
    /// Current faults.
    pub faults: Faults,
    /// Highest fencing token of the promotion calls so far.
    token: u64,
    /// Number of promotion calls with a token lower than that of an earlier call.
    pub lower_tokens: usize,
    /// Number of write transactions requested by hosts.
    pub changes: usize,
    /// Number of reads of each whole table by hosts.
    pub whole_reads: BTreeMap<Box<str>, usize>,
    /// Address of the link to each host, by the address on which the host listens for its peers.
    /// Hosts' rows are stored with the link's address.
    pub peer_links: BTreeMap<SocketAddr, SocketAddr>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            version: 1,
            rows: BTreeMap::new(),
            faults: Faults::default(),
            token: 0,
            lower_tokens: 0,
            changes: 0,
            whole_reads: BTreeMap::new(),
            peer_links: BTreeMap::new(),
        }
    }
}

impl Store {
    /// Writes a row on behalf of the operator or a server.
    pub fn put(&mut self, table: &str, key: &str, value: &Value) {
        self.put_text(table, key, &value.to_string());
    }

    /// Writes a row with this text as its value.
    pub fn put_text(&mut self, table: &str, key: &str, value: &str) {
        self.version += 1;
        let value = STANDARD.encode(value).into();
        let row = Row { value, version: self.version, removed: false };
        self.rows.insert((table.into(), key.into()), row);
    }

    /// Removes a row on behalf of the operator or a server.
    pub fn remove(&mut self, table: &str, key: &str) {
        self.version += 1;
        let row = Row { value: "".into(), version: self.version, removed: true };
        self.rows.insert((table.into(), key.into()), row);
    }

    /// Returns the number of rows of a table with a key that begins with `prefix`.
    pub fn count(&self, table: &str, prefix: &str) -> usize {
        let present = self.rows.iter().filter(|(_, row)| !row.removed);
        present.filter(|((of, key), _)| &**of == table && key.starts_with(prefix)).count()
    }

    /// Returns the rows of a table with a key in the range of `query`.
    fn read(&mut self, table: &str, query: &BTreeMap<&str, &str>) -> String {
        let from = query.get("from").copied().unwrap_or_default();
        let to = query.get("to").copied();
        if from.is_empty() && to.is_none() {
            *self.whole_reads.entry(table.into()).or_default() += 1;
        }
        let in_range = |key: &str| key >= from && to.is_none_or(|to| key < to);
        self.page(table, |key, row| !row.removed && in_range(key))
    }

    /// Returns the rows of a table that match `pick`, in order of their versions.
    ///
    /// Encodes the values without a generic serializer: that would stop all stand-ins for hundreds
    /// of milliseconds for each read of a large configuration.
    fn page(&self, table: &str, pick: impl Fn(&str, &Row) -> bool) -> String {
        let mut rows: Vec<_> =
            self.rows.iter().filter(|((of, key), row)| &**of == table && pick(key, row)).collect();
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<String> = rows
            .into_iter()
            .map(|((table, key), row)| {
                let rest = json!({"table": table, "part": "", "key": key,
                    "versionNumber": row.version, "tombstone": row.removed});
                let rest = rest.to_string();
                let rest = rest.strip_prefix('{').expect("an object");
                // The value is base64, which needs no escapes.
                format!("{{\"value\":\"{}\",{rest}", row.value)
            })
            .collect();
        let now = self.started.elapsed().as_millis() as u64 + 5000;
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"versionNumber\":{},\"nowMs\":{now}}}",
            rows.join(","),
            self.version
        )
    }

    /// Applies a write transaction if its preconditions hold.
    fn apply(&mut self, body: &Value) -> Reply {
        self.changes += 1;
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let name = |entry: &Value| -> (Box<str>, Box<str>) {
            let text = |field: &str| entry[field].as_str().unwrap_or_default().into();
            (text("table"), text("key"))
        };
        let valid = list("precondition").iter().all(|entry| {
            let row = self.rows.get(&name(entry)).filter(|row| !row.removed);
            row.map_or(0, |row| row.version) == entry["versionNumber"].as_u64().unwrap_or(0)
        });
        if !valid {
            return Reply::json(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
        }
        self.version += 1;
        for entry in list("setKeys") {
            let value = self.replace_peer_address(entry["value"].as_str().unwrap_or_default());
            let row = Row { value, version: self.version, removed: false };
            self.rows.insert(name(&entry), row);
        }
        for entry in list("remove") {
            let row = Row { value: "".into(), version: self.version, removed: true };
            self.rows.insert(name(&entry), row);
        }
        let now = self.started.elapsed().as_millis() as u64 + 5000;
        Reply::json(StatusCode::OK, &json!({"versionNumber": self.version, "nowMs": now}))
    }

    /// Replaces the peer address in an encoded row by the link's address, if there is a link.
    fn replace_peer_address(&self, value: &str) -> Box<str> {
        let decoded = STANDARD.decode(value).unwrap_or_default();
        let Ok(mut row) = serde_json::from_slice::<Value>(&decoded) else { return value.into() };
        let peer = row["peer"].as_str().and_then(|text| text.parse().ok());
        let Some(link) = peer.and_then(|peer: SocketAddr| self.peer_links.get(&peer)) else {
            return value.into();
        };
        row["peer"] = json!(link);
        STANDARD.encode(row.to_string()).into()
    }

    /// Returns whether a row of a table has a version after `after`.
    fn has_changes(&self, table: &str, after: u64) -> bool {
        self.rows.iter().any(|((of, _), row)| &**of == table && row.version > after)
    }
}

/// Returns the request handler for the store and the promotion service.
pub fn handler(store: Rc<RefCell<Store>>, groups: Rc<RefCell<Groups>>) -> Rc<Handler> {
    Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(answer(store.clone(), groups.clone(), request))
    })
}

/// Answers a request. One whose answer is to be lost is held for an hour.
async fn answer(store: Rc<RefCell<Store>>, groups: Rc<RefCell<Groups>>, request: Request) -> Reply {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    if &*request.path == "/promotion" {
        return promote(&store, &groups, &request, &body);
    }
    let faults = store.borrow().faults.clone();
    if faults.down {
        monoio::time::sleep(Duration::from_secs(3600)).await;
    }
    monoio::time::sleep(faults.delay.max(Duration::from_millis(1))).await;
    let query: BTreeMap<&str, &str> =
        request.query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let table = query.get("table").copied().unwrap_or_default();
    match &*request.path {
        "/-/rows-get" => json_reply(store.borrow_mut().read(table, &query)),
        "/-/rows-feed" => {
            let number = |name| query.get(name).and_then(|text| text.parse::<u64>().ok());
            let after = number("after").unwrap_or(0);
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0)).min(MAX_WAIT);
            let end = Instant::now() + wait;
            while !store.borrow().has_changes(table, after) && Instant::now() < end {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            json_reply(store.borrow().page(table, |_, row| row.version > after))
        }
        "/-/rows-tx" => {
            let reply = store.borrow_mut().apply(&body);
            let lost = store.borrow().faults.lost_answers > 0;
            if lost {
                store.borrow_mut().faults.lost_answers -= 1;
                monoio::time::sleep(Duration::from_secs(3600)).await;
            }
            reply
        }
        _ => Reply::text(StatusCode::NOT_FOUND, ""),
    }
}

fn json_reply(text: String) -> Reply {
    Reply { kind: "application/json", ..Reply::text(StatusCode::OK, text) }
}

/// Handles a promotion call and counts it if its fencing token is lower than an earlier one.
fn promote(
    store: &RefCell<Store>,
    groups: &RefCell<Groups>,
    request: &Request,
    body: &Value,
) -> Reply {
    let mut store = store.borrow_mut();
    let token = request.header("x-fencing-token").and_then(|text| text.parse().ok()).unwrap_or(0);
    if token < store.token {
        store.lower_tokens += 1;
    }
    store.token = store.token.max(token);
    let id = body["instanceId"].as_str().unwrap_or_default();
    let accepted = groups.borrow_mut().promote(id);
    Reply::text(if accepted { StatusCode::OK } else { StatusCode::CONFLICT }, "")
}
