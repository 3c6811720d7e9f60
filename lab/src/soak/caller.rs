//! A caller of a soak. It opens one session after another and checks each answer.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

use super::group::{Groups, Must, Statement};

/// Maximum time for which a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Error codes which guarantee that nothing of a statement is kept.
const NOT_KEPT_CODES: [&str; 6] = ["BUSY", "ABORTED", "BEHIND", "READONLY", "MISROUTED", "TOOMANY"];

/// A database, with the guarantees that its reads must fulfil.
#[derive(Clone, Debug)]
pub struct Database {
    /// Database name.
    pub name: Box<str>,
    /// Index of its group.
    pub group: usize,
    /// Maximum staleness of reads: writes acknowledged longer ago must be visible. `None` requires
    /// all acknowledged writes.
    pub max_staleness: Option<Duration>,
    /// Whether reads must show the session's own writes.
    pub read_own_writes: bool,
}

/// Identity and settings of a caller.
#[derive(Clone)]
pub struct Caller {
    /// Number that is unique among callers.
    pub number: u64,
    /// Addresses of the hosts that it connects to.
    pub hosts: Vec<SocketAddr>,
    /// Client account.
    pub account: Box<str>,
    /// API key of the account.
    pub key: Box<str>,
    /// Databases that it uses.
    pub databases: Vec<Database>,
    /// State of the servers, and the record of statements.
    pub groups: Rc<RefCell<Groups>>,
    /// Number of statements answered with success, over all callers.
    pub served: Rc<Cell<u64>>,
    /// Number of statements answered with an error, over all callers.
    pub refused: Rc<Cell<u64>>,
}

struct Session<'a> {
    caller: &'a Caller,
    io: BufReader<TcpStreamPoll>,
    database: Database,
    values: BTreeMap<Box<str>, Box<str>>,
    /// Name and definition of each prepared statement.
    prepared: Vec<(Box<str>, Box<str>)>,
    /// Position of the session's own writes that reads must show.
    required: Must,
    operation: u64,
    /// Start of the open transaction.
    began: Option<Instant>,
    /// Id of the last statement.
    id: u64,
}

/// A host's answer to a statement.
enum Response {
    Done { rows: Vec<Box<str>>, signature: Box<str> },
    Error { code: Box<str> },
}

impl Caller {
    /// Runs sessions until `stop` is set.
    pub async fn run(self, stop: Rc<Cell<bool>>) {
        let mut session = 0;
        while !stop.get() {
            session += 1;
            // Injected faults break sessions; the next session continues.
            let _ = self.session(self.number * 100_000 + session, &stop).await;
            monoio::time::sleep(Duration::from_millis(rand::random_range(5..60))).await;
        }
    }

    async fn session(&self, number: u64, stop: &Cell<bool>) -> anyhow::Result<()> {
        let host = self.hosts[rand::random_range(0..self.hosts.len())];
        let connect = monoio::time::timeout(Duration::from_secs(1), TcpStream::connect(host));
        let io = BufReader::new(connect.await??.into_poll_io()?);
        let database = self.databases[rand::random_range(0..self.databases.len())].clone();
        let mut session = Session {
            caller: self,
            io,
            database,
            values: BTreeMap::new(),
            prepared: Vec::new(),
            required: Must::default(),
            operation: 0,
            began: None,
            id: number << 16,
        };
        let start = format!("START {} {}\r\n", session.database.name, self.key);
        session.io.write_all(start.as_bytes()).await?;
        let mut line = String::new();
        monoio::time::timeout(ANSWER_TIMEOUT, session.io.read_line(&mut line)).await??;
        anyhow::ensure!(line.starts_with("READY I"), "host refused the session: {line}");
        for _ in 0..rand::random_range(1..30) {
            if stop.get() {
                return Ok(());
            }
            session.operation += 1;
            session.began = None;
            session.operate(number).await?;
            monoio::time::sleep(Duration::from_millis(rand::random_range(0..40))).await;
        }
        Ok(())
    }
}

/// Returns whether a host accepts sessions on a database with the key of `baobab`.
pub async fn serves_database(host: SocketAddr, database: &str) -> bool {
    let start = async {
        let mut io = BufReader::new(TcpStream::connect(host).await?.into_poll_io()?);
        io.write_all(format!("START {database} key-b\r\n").as_bytes()).await?;
        let mut line = String::new();
        io.read_line(&mut line).await?;
        anyhow::Ok(line)
    };
    let response = monoio::time::timeout(ANSWER_TIMEOUT, start).await;
    matches!(response, Ok(Ok(line)) if line.starts_with("READY"))
}

impl Session<'_> {
    /// Runs a random operation: a session variable, a prepared statement, a transaction or a
    /// single statement.
    async fn operate(&mut self, number: u64) -> anyhow::Result<()> {
        match rand::random_range(0..10) {
            0 => {
                let (name, value) = (rand::random_range(0..3), rand::random_range(0..3));
                let (name, value) = (format!("v{name}"), format!("x{value}"));
                if let Response::Done { .. } =
                    self.ask(number, &format!("SET {name} {value}")).await?
                {
                    self.values.insert(name.into(), value.into());
                }
            }
            1 => {
                let kind = if rand::random_bool(0.5) { "READ" } else { "WRITE" };
                let name: Box<str> = format!("p{}", rand::random_range(0..3)).into();
                let shape = format!("{kind} q{}", rand::random_range(0..4));
                let response = self.ask(number, &format!("PREPARE {name} {shape}")).await?;
                if let Response::Done { .. } = response {
                    self.prepared.retain(|(other, _)| *other != name);
                    self.prepared.push((name, shape.into()));
                }
            }
            2..4 => self.transaction(number).await?,
            _ => {
                let text = self.statement();
                self.single(number, &text).await?;
            }
        }
        Ok(())
    }

    /// Returns the text of a random read or write, in part by a prepared name.
    fn statement(&self) -> String {
        let item = format!("k{}", rand::random_range(0..20));
        let data = format!("d{:x}", rand::random::<u32>());
        if let Some((name, shape)) = self.prepared.last()
            && rand::random_bool(0.4)
        {
            return match shape.starts_with("WRITE") {
                true => format!("EXECUTE {name} {item} {data}"),
                false => format!("EXECUTE {name} {item}"),
            };
        }
        if rand::random_bool(0.3) { format!("WRITE {item} {data}") } else { format!("READ {item}") }
    }

    /// Returns whether a statement writes.
    fn is_write(&self, text: &str) -> bool {
        let name = text.strip_prefix("EXECUTE ").and_then(|rest| rest.split(' ').next());
        let prepared = name.and_then(|name| self.prepared.iter().find(|(n, _)| **n == *name));
        text.starts_with("WRITE") || prepared.is_some_and(|(_, s)| s.starts_with("WRITE"))
    }

    /// Sends a statement outside of a transaction.
    async fn single(&mut self, number: u64, text: &str) -> anyhow::Result<()> {
        let write = self.is_write(text);
        let response = self.ask(number, text).await?;
        let id = self.last_id();
        if let (true, Response::Done { .. }) = (write, &response) {
            self.acknowledge(std::slice::from_ref(&id));
        }
        if let Response::Error { code } = &response
            && NOT_KEPT_CODES.contains(&&**code)
        {
            self.caller.groups.borrow_mut().record_not_kept(&id);
        }
        Ok(())
    }

    /// Runs a random transaction.
    async fn transaction(&mut self, number: u64) -> anyhow::Result<()> {
        let read_only = rand::random_bool(0.4);
        self.began = Some(Instant::now());
        let begin = if read_only { "BEGIN READ" } else { "BEGIN" };
        let mut writes = Vec::new();
        if let Response::Error { .. } = self.ask(number, begin).await? {
            return Ok(());
        }
        for _ in 0..rand::random_range(1..5) {
            let text = self.statement();
            let write = self.is_write(&text);
            if write && read_only {
                continue;
            }
            let response = self.ask(number, &text).await?;
            if write {
                writes.push(self.last_id());
            }
            if let Response::Error { .. } = response {
                // An error ends the whole transaction, so that none of its writes may be kept.
                writes.iter().for_each(|id| self.caller.groups.borrow_mut().record_not_kept(id));
                self.ask(number, "ROLLBACK").await?;
                return Ok(());
            }
            monoio::time::sleep(Duration::from_millis(rand::random_range(0..30))).await;
        }
        let end = if rand::random_bool(0.85) { "COMMIT" } else { "ROLLBACK" };
        match self.ask(number, end).await? {
            Response::Done { .. } if end == "COMMIT" => self.acknowledge(&writes),
            Response::Done { .. } => {
                writes.iter().for_each(|id| self.caller.groups.borrow_mut().record_not_kept(id));
            }
            Response::Error { code } if NOT_KEPT_CODES.contains(&&*code) => {
                writes.iter().for_each(|id| self.caller.groups.borrow_mut().record_not_kept(id));
            }
            Response::Error { .. } => {}
        }
        Ok(())
    }

    /// Records that writes were acknowledged, and requires them of later reads.
    fn acknowledge(&mut self, writes: &[Box<str>]) {
        for id in writes {
            let required = self.caller.groups.borrow_mut().acknowledge(id, self.database.group);
            if self.database.read_own_writes && required != Must::default() {
                self.required = required;
            }
        }
    }

    /// Returns the id of the last statement in hexadecimal, as sent.
    fn last_id(&self) -> Box<str> {
        format!("{:x}", self.id).into()
    }

    /// Sends a statement, and checks the answer.
    async fn ask(&mut self, number: u64, text: &str) -> anyhow::Result<Response> {
        self.id += 1;
        let id = self.last_id();
        let sent = Statement {
            account: self.caller.account.clone(),
            text: self.canonical(text).into(),
            values: self.values.clone(),
            operation: (number, self.operation),
            required: self.required,
        };
        let from = self.began.unwrap_or_else(Instant::now);
        let since = from.checked_sub(self.database.max_staleness.unwrap_or_default());
        let since = since.filter(|_| !self.is_write(text));
        self.caller.groups.borrow_mut().record_sent(&id, sent, self.database.group, since);
        self.io.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).await?;
        let response = monoio::time::timeout(ANSWER_TIMEOUT, self.answer()).await;
        self.caller.groups.borrow_mut().record_end(&id);
        let response = response.context("host did not answer in time")??;
        self.check(&id, text, &response);
        Ok(response)
    }

    /// Returns the text with a prepared name replaced by its definition. Servers record the same
    /// form, since their names of prepared statements may differ.
    fn canonical(&self, text: &str) -> String {
        let Some(rest) = text.strip_prefix("EXECUTE ") else { return text.to_owned() };
        let (name, args) = rest.split_once(' ').unwrap_or((rest, ""));
        let shape = self.prepared.iter().find(|(other, _)| **other == *name);
        format!("EXECUTE {} {args}", shape.map_or("", |(_, shape)| shape))
    }

    /// Reads lines up to `READY`.
    async fn answer(&mut self) -> anyhow::Result<Response> {
        let (mut rows, mut response) = (Vec::new(), None);
        loop {
            let mut line = String::new();
            anyhow::ensure!(
                self.io.read_line(&mut line).await? > 0,
                "host closed the connection before the answer was complete"
            );
            let (kind, rest) =
                line.trim_end().split_once(' ').context("answer line has no blank")?;
            match kind {
                "ROW" => rows.push(rest.into()),
                "DONE" => {
                    let rows = std::mem::take(&mut rows);
                    response = Some(Response::Done { rows, signature: rest.into() });
                }
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default().into();
                    response = Some(Response::Error { code });
                }
                "READY" => return response.context("answer has neither DONE nor ERROR"),
                _ => bail!("answer line of an unknown kind: {line}"),
            }
        }
    }

    /// Checks that an answer is one that a server gave to the statement of this id.
    fn check(&self, id: &str, text: &str, response: &Response) {
        let Response::Done { rows, signature } = response else {
            return self.caller.refused.set(self.caller.refused.get() + 1);
        };
        let verb = text.split(' ').next().unwrap_or_default();
        if !["READ", "WRITE", "EXECUTE", "COMMIT"].contains(&verb) {
            return;
        }
        self.caller.served.set(self.caller.served.get() + 1);
        let mut groups = self.caller.groups.borrow_mut();
        let answers = groups.answers.get(id).into_iter().flatten();
        let mut same = answers.filter(|answer| answer.signature == *signature);
        if same.next().is_none_or(|answer| answer.rows != *rows) {
            groups
                .broken
                .push(format!("{id} {text} was answered {rows:?} {signature}, not so run"));
        }
    }
}
