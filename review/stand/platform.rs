//! Stand-in for the platform: the metadata store and the promotion call.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::json::{self, Value};

/// Time that an answer of the store takes, by the sheet of the deployment.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
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

/// Handler of a promotion call: the service, the instance and the fencing token; returns the status.
type Promoter = dyn Fn(&str, &str, u64) -> u16 + Send + Sync;

/// The store.
pub struct Platform {
    /// Address of the store and of the promotion call.
    pub address: SocketAddr,
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    promoter: Box<Promoter>,
}

impl Platform {
    /// Starts the platform on a free port of the loopback address `ip`.
    pub fn start(
        ip: &str,
        promoter: impl Fn(&str, &str, u64) -> u16 + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let platform = Arc::new(Self {
            address: listener.local_addr()?,
            started: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            promoter: Box::new(promoter),
        });
        let served = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                // A connection that breaks needs no answer.
                thread::spawn(move || platform.serve(stream).ok());
            }
        });
        Ok(platform)
    }

    /// Writes a row on behalf of the operator or of an instance; returns at the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row =
            Row { value: json::base64(value.as_bytes()), version: rows.version, removed: false };
        rows.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 5000
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let request = line.trim_end().to_owned();
            let (mut length, mut token) = (0, 0);
            loop {
                line.clear();
                reader.read_line(&mut line)?;
                let Some((name, value)) = line.trim_end().split_once(':') else { break };
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "x-fencing-token" => token = value.trim().parse().unwrap_or(0),
                    _ => {}
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let (status, reply) = self.answer(&request, token, &body);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                reply.len()
            );
            writer.write_all(format!("{head}{reply}").as_bytes())?;
        }
    }

    fn answer(&self, request: &str, token: u64, body: &[u8]) -> (u16, String) {
        let mut words = request.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let field = |name: &str| query.get(name).copied().unwrap_or("");
        match (method, path) {
            ("GET", "/-/rows-get") => (200, self.range(field("table"), field("from"), field("to"))),
            ("GET", "/-/rows-feed") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                (200, self.feed(field("table"), after, wait))
            }
            ("POST", "/-/rows-tx") => match json::parse(body) {
                Some(body) => self.change(&body),
                None => (400, "{}".into()),
            },
            ("POST", "/promotion") => {
                let body = json::parse(body);
                let text = |name| body.as_ref().map_or("", |body| body.text(name));
                ((self.promoter)(text("service"), text("instanceId"), token), "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, table: &str, from: &str, to: &str) -> String {
        let rows = self.rows.lock().unwrap();
        let from = from.replace("%00", "\0");
        let picked = rows.rows.iter().filter(|((of, key), row)| {
            of == table && !row.removed && **key >= *from && (to.is_empty() || **key < *to)
        });
        self.page(&rows, picked.collect())
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let newer = rows.rows.iter();
            let newer = newer.filter(|((of, _), row)| of == table && row.version > after);
            let mut picked: Vec<_> = newer.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !picked.is_empty() || left.is_zero() {
                picked.sort_by_key(|(_, row)| row.version);
                return self.page(&rows, picked);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, rows: &Rows, picked: Vec<(&(String, String), &Row)>) -> String {
        let one = |((table, key), row): &(&(String, String), &Row)| {
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{}\",\
                 \"versionNumber\":{},\"tombstone\":{}}}",
                row.value, row.version, row.removed
            )
        };
        let list: Vec<String> = picked.iter().map(one).collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"versionNumber\":{},\"nowMs\":{}}}",
            list.join(","),
            rows.version,
            self.now_ms()
        )
    }

    fn change(&self, body: &Value) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let name = |entry: &Value| (entry.text("table").to_owned(), entry.text("key").to_owned());
        let holds = |entry: &Value| {
            let row = rows.rows.get(&name(entry)).filter(|row| !row.removed);
            row.map_or(0, |row| row.version) == entry.number("versionNumber")
        };
        if !body.list("precondition").iter().all(holds) {
            return (412, "{\"rows\":[]}".into());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.list("setKeys") {
            let row = Row { value: entry.text("value").into(), version, removed: false };
            rows.rows.insert(name(entry), row);
        }
        for entry in body.list("remove") {
            let row = Row { value: String::new(), version, removed: true };
            rows.rows.insert(name(entry), row);
        }
        self.changed.notify_all();
        (200, format!("{{\"versionNumber\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}
