//! A caller of a soak: a session after the other, and what each answer must be.

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

use super::group::{Groups, Must, Sent};

/// The longest that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Words by which a caller is promised that nothing of its statement is kept.
const NOT_KEPT_CODES: [&str; 6] = ["BUSY", "ABORTED", "BEHIND", "READONLY", "MISROUTED", "TOOMANY"];

/// A database as callers know it.
#[derive(Clone, Debug)]
pub struct Database {
    /// Its name.
    pub name: Box<str>,
    /// Its group.
    pub group: usize,
    /// What its reads must show: all, all of that age, or that and the session's own.
    pub age: Option<Duration>,
    /// Whether a read must show the session's own writes.
    pub own: bool,
}

/// Who a caller is.
#[derive(Clone)]
pub struct Caller {
    /// Its number; no other caller has it.
    pub number: u64,
    /// Hosts that it may connect to.
    pub hosts: Vec<SocketAddr>,
    /// Its account, and the key that it shows.
    pub account: Box<str>,
    /// The key that it shows.
    pub key: Box<str>,
    /// The databases.
    pub databases: Vec<Database>,
    /// What the servers see.
    pub groups: Rc<RefCell<Groups>>,
    /// Statements answered with success, over all callers.
    pub served: Rc<Cell<u64>>,
    /// Statements answered otherwise, over all callers.
    pub refused: Rc<Cell<u64>>,
}

struct Session<'a> {
    caller: &'a Caller,
    io: BufReader<TcpStreamPoll>,
    database: Database,
    values: BTreeMap<Box<str>, Box<str>>,
    prepared: Vec<(Box<str>, Box<str>)>,
    own: Must,
    operation: u64,
    /// When the transaction that is open began.
    began: Option<Instant>,
    id: u64,
}

/// What came back.
enum Response {
    Done { rows: Vec<Box<str>>, signature: Box<str> },
    Error { code: Box<str> },
}

impl Caller {
    /// Asks until `stop` is set.
    pub async fn run(self, stop: Rc<Cell<bool>>) {
        let mut session = 0;
        while !stop.get() {
            session += 1;
            // A session that breaks off is what faults are for; the next one goes on.
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
            own: Must::default(),
            operation: 0,
            began: None,
            id: number << 16,
        };
        let start = format!("START {} {}\r\n", session.database.name, self.key);
        session.io.write_all(start.as_bytes()).await?;
        let mut line = String::new();
        monoio::time::timeout(ANSWER_TIMEOUT, session.io.read_line(&mut line)).await??;
        anyhow::ensure!(line.starts_with("READY I"), "no session: {line}");
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

/// Whether a host knows a database and an account's key.
pub async fn serves_database(host: SocketAddr, database: &str) -> bool {
    let ask = async {
        let mut io = BufReader::new(TcpStream::connect(host).await?.into_poll_io()?);
        io.write_all(format!("START {database} key-b\r\n").as_bytes()).await?;
        let mut line = String::new();
        io.read_line(&mut line).await?;
        anyhow::Ok(line)
    };
    let response = monoio::time::timeout(ANSWER_TIMEOUT, ask).await;
    matches!(response, Ok(Ok(line)) if line.starts_with("READY"))
}

impl Session<'_> {
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

    /// The text of a read or write, under a prepared name now and then.
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

    fn writes(&self, text: &str) -> bool {
        let name = text.strip_prefix("EXECUTE ").and_then(|rest| rest.split(' ').next());
        let prepared = name.and_then(|name| self.prepared.iter().find(|(n, _)| **n == *name));
        text.starts_with("WRITE") || prepared.is_some_and(|(_, s)| s.starts_with("WRITE"))
    }

    async fn single(&mut self, number: u64, text: &str) -> anyhow::Result<()> {
        let writes = self.writes(text);
        let response = self.ask(number, text).await?;
        let id = self.last_id();
        if let (true, Response::Done { .. }) = (writes, &response) {
            self.keep(std::slice::from_ref(&id));
        }
        if let Response::Error { code } = &response
            && NOT_KEPT_CODES.contains(&&**code)
        {
            self.caller.groups.borrow_mut().record_not_kept(&id);
        }
        Ok(())
    }

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
            let write = self.writes(&text);
            if write && read_only {
                continue;
            }
            let response = self.ask(number, &text).await?;
            if write {
                writes.push(self.last_id());
            }
            if let Response::Error { .. } = response {
                // All of it is over; the promise holds for every write in it.
                writes.iter().for_each(|id| self.caller.groups.borrow_mut().record_not_kept(id));
                self.ask(number, "ROLLBACK").await?;
                return Ok(());
            }
            monoio::time::sleep(Duration::from_millis(rand::random_range(0..30))).await;
        }
        let end = if rand::random_bool(0.85) { "COMMIT" } else { "ROLLBACK" };
        match self.ask(number, end).await? {
            Response::Done { .. } if end == "COMMIT" => self.keep(&writes),
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

    /// The writes were acknowledged.
    fn keep(&mut self, writes: &[Box<str>]) {
        for id in writes {
            let required = self.caller.groups.borrow_mut().acknowledge(id, self.database.group);
            if self.database.own && required != Must::default() {
                self.own = required;
            }
        }
    }

    fn last_id(&self) -> Box<str> {
        format!("{:x}", self.id).into()
    }

    async fn ask(&mut self, number: u64, text: &str) -> anyhow::Result<Response> {
        self.id += 1;
        let id = self.last_id();
        let sent = Sent {
            account: self.caller.account.clone(),
            text: self.canonical(text).into(),
            values: self.values.clone(),
            operation: (number, self.operation),
            required: self.own,
        };
        let from = self.began.unwrap_or_else(Instant::now);
        let since = from.checked_sub(self.database.age.unwrap_or_default());
        let since = since.filter(|_| !self.writes(text));
        self.caller.groups.borrow_mut().record_sent(&id, sent, self.database.group, since);
        self.io.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).await?;
        let response =
            monoio::time::timeout(ANSWER_TIMEOUT, self.answer()).await.context("no answer")??;
        self.check(&id, text, &response);
        Ok(response)
    }

    /// The text as servers see it, whatever a prepared name is called there.
    fn canonical(&self, text: &str) -> String {
        let Some(rest) = text.strip_prefix("EXECUTE ") else { return text.to_owned() };
        let (name, args) = rest.split_once(' ').unwrap_or((rest, ""));
        let shape = self.prepared.iter().find(|(other, _)| **other == *name);
        format!("EXECUTE {} {args}", shape.map_or("", |(_, shape)| shape))
    }

    async fn answer(&mut self) -> anyhow::Result<Response> {
        let (mut rows, mut response) = (Vec::new(), None);
        loop {
            let mut line = String::new();
            anyhow::ensure!(self.io.read_line(&mut line).await? > 0, "cut off");
            let (kind, rest) = line.trim_end().split_once(' ').context("a broken line")?;
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
                "READY" => return response.context("no outcome"),
                _ => bail!("an unknown line: {line}"),
            }
        }
    }

    /// An answer must be the one that a server gave to this very statement.
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
