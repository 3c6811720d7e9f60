//! Stand-in for the platform: its metadata store and its promotion call, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{Json, base64},
    record::Record,
    servers::Groups,
};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

struct Row {
    value: String,
    version: u64,
    removed: bool,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The platform.
pub struct Platform {
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Highest fencing token of a promotion call so far.
    token: Mutex<u64>,
    groups: Arc<Groups>,
    record: Record,
}

struct Call {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Platform {
    /// Listens at a free address and serves calls; returns the platform and the address.
    pub fn start(groups: Arc<Groups>, record: Record) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listening");
        let address = listener.local_addr().expect("an address");
        let platform = Arc::new(Self {
            started: Instant::now(),
            rows: Mutex::new(Rows { version: 1, ..Rows::default() }),
            changed: Condvar::new(),
            token: Mutex::new(0),
            groups,
            record,
        });
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        (platform, address)
    }

    /// Writes a row on behalf of the operator or a server.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: base64(text.as_bytes()), version: rows.version, removed: false };
        rows.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    /// Removes a row, if it exists.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        let known = rows.rows.get(&(table.into(), key.into())).is_some_and(|row| !row.removed);
        if known {
            rows.version += 1;
            let row = Row { value: String::new(), version: rows.version, removed: true };
            rows.rows.insert((table.into(), key.into()), row);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(call) = read_call(&mut input) {
            thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&call);
            let reason = if status == 200 { "OK" } else { "Other" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let query = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        match (&*call.method, &*call.path) {
            ("GET", "/-/rows-get") => {
                let (table, from, to) = (query("table"), query("from"), query("to"));
                let rows = self.rows.lock().unwrap();
                let in_range = |key: &str| *key >= *from && (to.is_empty() || *key < *to);
                let found = self.page(&rows, &table, |key, row| !row.removed && in_range(key));
                (200, found)
            }
            ("GET", "/-/rows-feed") => {
                let (table, after) = (query("table"), query("after").parse().unwrap_or(0));
                let wait = query("waitMs").parse().unwrap_or(0u64).min(30_000);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let is_new =
                        rows.rows.iter().any(|((t, _), row)| *t == table && row.version > after);
                    let left = end.saturating_duration_since(Instant::now());
                    if is_new || left.is_zero() {
                        return (200, self.page(&rows, &table, |_, row| row.version > after));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            ("POST", "/-/rows-tx") => self.change(&Json::parse(&call.body).unwrap_or(Json::Null)),
            ("POST", "/promotion") => self.promote(call),
            _ => (404, String::new()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 5000
    }

    fn page(&self, rows: &Rows, table: &str, pick: impl Fn(&str, &Row) -> bool) -> String {
        let mut found: Vec<_> =
            rows.rows.iter().filter(|((t, key), row)| t == table && pick(key, row)).collect();
        if found.iter().any(|(_, row)| row.removed) {
            found.sort_by_key(|(_, row)| row.version);
        }
        let found: Vec<String> = found.into_iter().map(|(name, row)| row_json(name, row)).collect();
        let (version, now) = (rows.version, self.now_ms());
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"versionNumber\":{version},\"nowMs\":{now}}}",
            found.join(",")
        )
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let name = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let holds = body.get("precondition").list().iter().all(|entry| {
            let row = rows.rows.get(&name(entry)).filter(|row| !row.removed);
            row.map_or(0, |row| row.version) == entry.get("versionNumber").number()
        });
        if !holds {
            return (
                412,
                format!(
                    "{{\"rows\":[],\"versionNumber\":{},\"nowMs\":{}}}",
                    rows.version,
                    self.now_ms()
                ),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("setKeys").list() {
            let row = Row { value: entry.get("value").text().into(), version, removed: false };
            rows.rows.insert(name(entry), row);
        }
        for entry in body.get("remove").list() {
            rows.rows.insert(name(entry), Row { value: String::new(), version, removed: true });
        }
        self.changed.notify_all();
        (200, format!("{{\"versionNumber\":{version},\"nowMs\":{}}}", self.now_ms()))
    }

    fn promote(&self, call: &Call) -> (u16, String) {
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let (holder, token) = (header("x-duty-holder"), header("x-fencing-token"));
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let id = body.get("instanceId").text().to_owned();
        let value: u64 = token.parse().unwrap_or(0);
        let mut highest = self.token.lock().unwrap();
        if value < *highest {
            self.record.broken("ONE", &format!("token {value} after {highest}"));
        }
        *highest = value.max(*highest);
        let accepted = self.groups.promote(&id);
        self.record
            .line(&format!("platform: promotion of {id} by {holder}, token {token}: {accepted}"));
        (if accepted { 200 } else { 409 }, String::new())
    }
}

fn row_json((table, key): &(String, String), row: &Row) -> String {
    let text = |text: &str| Json::Text(text.into()).to_string();
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{},\"versionNumber\":{},\"tombstone\":{}}}",
        text(table),
        text(key),
        text(&row.value),
        row.version,
        row.removed
    )
}

fn read_call(input: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        let code = std::str::from_utf8(tail.get(..2).unwrap_or_default()).ok();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
