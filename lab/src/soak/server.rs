//! Stand-in for a backend server with a line protocol.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bergamottrack_operator::serve::listen;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    sync::{Notify, Semaphore},
};

use super::group::{Execution, Groups};

/// Maximum number of statements that a server executes concurrently.
pub const SLOTS: usize = 5;

/// Maximum number of open connections to a server.
pub const MAX_CONNECTIONS: usize = 34;

/// Time for which a new connection occupies a slot.
const CONNECT_DURATION: Duration = Duration::from_millis(4);

type Values = BTreeMap<Box<str>, Box<str>>;

/// A stand-in server.
pub struct Standin {
    /// Index among all servers.
    pub index: usize,
    /// Names of the server and of its group.
    pub names: [Box<str>; 2],
    groups: Rc<RefCell<Groups>>,
    slots: Semaphore,
    connections: Semaphore,
    stopped: Notify,
}

struct Transaction {
    writes_allowed: bool,
    /// Session that the first statement belongs to; `None` before that statement.
    session: Option<u64>,
    /// Statement id, item and data of each write.
    writes: Vec<(Box<str>, Box<str>, Box<str>)>,
}

struct Session {
    standin: Rc<Standin>,
    account: Box<str>,
    values: Values,
    prepared: HashMap<Box<str>, Box<str>>,
    transaction: Option<Transaction>,
    /// Whether a statement of the open transaction has failed; further ones fail until `ROLLBACK`.
    failed: bool,
}

/// Result of a statement.
enum Reply {
    /// Rows and signature of the answer.
    Done(Vec<Box<str>>, Box<str>),
    /// Error code.
    Error(&'static str),
    /// The connection is closed without an answer.
    Lost,
}

impl Standin {
    /// Returns a server that does not listen yet.
    pub fn new(index: usize, names: [Box<str>; 2], groups: Rc<RefCell<Groups>>) -> Rc<Self> {
        Rc::new(Self {
            index,
            names,
            groups,
            slots: Semaphore::new(SLOTS),
            connections: Semaphore::new(MAX_CONNECTIONS),
            stopped: Notify::new(),
        })
    }

    /// Listens while the server is up; connections are refused while it is not. Never returns.
    pub async fn run(self: Rc<Self>, address: SocketAddr) {
        loop {
            if !self.groups.borrow().servers[self.index].up {
                monoio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            let Ok(listener) = listen(address) else {
                monoio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    monoio::spawn(self.clone().connection(stream));
                }
            };
            monoio::select! {
                _ = accept => {}
                _ = self.stopped.notified() => {}
            }
        }
    }

    /// Stops the server and closes all of its connections.
    pub fn stop(&self) {
        self.groups.borrow_mut().servers[self.index].up = false;
        self.stopped.notify_waiters();
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let stopped = self.stopped.notified();
        let Ok(io) = stream.into_poll_io() else { return };
        let serve = self.clone().serve(BufReader::new(io));
        monoio::select! {
            // An I/O error needs no handling: the peer detects the broken connection.
            _ = serve => {}
            _ = stopped => {}
        }
    }

    async fn serve(self: Rc<Self>, mut io: BufReader<TcpStreamPoll>) -> std::io::Result<()> {
        let mut line = String::new();
        io.read_line(&mut line).await?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, group, account, id] = words[..] else { return Ok(()) };
        let Ok(_connection) = self.connections.try_acquire() else {
            return io.write_all(b"ERROR TOOMANY full\r\n").await;
        };
        if id != &*self.names[0] || group != &*self.names[1] {
            return io.write_all(b"ERROR MISROUTED other\r\n").await;
        }
        let mut session = Session {
            standin: self.clone(),
            account: account.into(),
            values: Values::new(),
            prepared: HashMap::new(),
            transaction: None,
            failed: false,
        };
        if let Ok(_slot) = self.slots.acquire().await {
            monoio::time::sleep(CONNECT_DURATION).await;
        }
        io.write_all(self.ready("I").as_bytes()).await?;
        loop {
            line.clear();
            if io.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let mut words = line.trim_end().splitn(3, ' ');
            let (Some("QUERY"), Some(id), Some(text)) = (words.next(), words.next(), words.next())
            else {
                return Ok(());
            };
            let mut out = match session.statement(id, text).await {
                Reply::Done(rows, signature) => {
                    let mut out: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                    out.push_str(&format!("DONE {signature}\r\n"));
                    out
                }
                Reply::Error(code) => {
                    session.failed |= session.transaction.is_some();
                    format!("ERROR {code} {}\r\n", self.names[0])
                }
                Reply::Lost => return Ok(()),
            };
            out.push_str(&self.ready(match (&session.transaction, session.failed) {
                (None, _) => "I",
                (Some(_), false) => "T",
                (Some(_), true) => "E",
            }));
            io.write_all(out.as_bytes()).await?;
        }
    }

    fn ready(&self, state: &str) -> String {
        let groups = self.groups.borrow();
        let server = &groups.servers[self.index];
        format!("READY {state} {}.{}\r\n", server.term, server.applied)
    }
}

impl Session {
    async fn statement(&mut self, id: &str, text: &str) -> Reply {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or((None, rest), |(p, t)| (Some(p), t)),
            None => (None, text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Reply::Done(Vec::new(), "-".into())
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.into(), value.into());
                Reply::Done(Vec::new(), "-".into())
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.into(), shape.into());
                Reply::Done(Vec::new(), "-".into())
            }
            "STATUS" => {
                let groups = self.standin.groups.borrow();
                let server = &groups.servers[self.standin.index];
                let role = if server.is_leader { "primary" } else { "replica" };
                let (term, received) = (server.term, server.log.len());
                let row = format!("{role} {term} {term}.{received} {term} 0 0 0");
                Reply::Done(vec![row.into()], "-".into())
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                Reply::Done(Vec::new(), "-".into())
            }
            _ if self.failed => Reply::Error("MALFORMED"),
            "BEGIN" => {
                if !self.has_applied(after) {
                    return Reply::Error("BEHIND");
                }
                let writes_allowed = rest.is_empty();
                if writes_allowed && !self.is_leader() {
                    return Reply::Error("READONLY");
                }
                let (session, writes) = (None, Vec::new());
                self.transaction = Some(Transaction { writes_allowed, session, writes });
                Reply::Done(Vec::new(), "-".into())
            }
            _ => self.execute(id, verb, rest, after).await,
        }
    }

    /// Returns whether the server has applied the position `TERM.NUMBER`; true without a valid
    /// position.
    fn has_applied(&self, after: Option<&str>) -> bool {
        let groups = self.standin.groups.borrow();
        let server = &groups.servers[self.standin.index];
        let position = after.and_then(|text| text.split_once('.'));
        let position = position.and_then(|(t, n)| Some((t.parse::<u64>().ok()?, n.parse().ok()?)));
        position.is_none_or(|(term, number): (u64, usize)| {
            server.term >= term && server.applied >= number
        })
    }

    /// Returns whether the server acts as leader.
    fn is_leader(&self) -> bool {
        self.standin.groups.borrow().servers[self.standin.index].is_leader
    }

    /// Executes a read, a write or a commit and checks it against the statement sent.
    async fn execute(&mut self, id: &str, verb: &str, rest: &str, after: Option<&str>) -> Reply {
        let standin = self.standin.clone();
        let Ok(_slot) = standin.slots.acquire().await else { return Reply::Error("BUSY") };
        monoio::time::sleep(Duration::from_micros(rand::random_range(500..6000))).await;
        // The server may have stopped in the same turn of the event loop.
        if !standin.groups.borrow().servers[standin.index].up {
            return Reply::Lost;
        }
        if !self.has_applied(after) {
            return Reply::Error("BEHIND");
        }
        let text = match verb {
            "EXECUTE" => {
                let (name, args) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some(shape) = self.prepared.get(name) else { return Reply::Error("UNKNOWN") };
                format!("EXECUTE {shape} {args}")
            }
            _ => format!("{verb} {rest}").trim_end().to_owned(),
        };
        let write = verb == "WRITE" || text.starts_with("EXECUTE WRITE ");
        let allowed = self.transaction.as_ref().is_none_or(|open| open.writes_allowed);
        let read_write = self.transaction.as_ref().is_some_and(|open| open.writes_allowed);
        if (write || read_write) && !(self.is_leader() && allowed) {
            return Reply::Error("READONLY");
        }
        if !self.same_session(id) {
            let story = format!("{id} ran within a transaction of another session");
            standin.groups.borrow_mut().broken.push(story);
        }
        let args: Vec<&str> = match verb {
            "EXECUTE" => text.split(' ').skip(3).collect(),
            _ => rest.split(' ').collect(),
        };
        let mut groups = standin.groups.borrow_mut();
        let item = args.first().copied().unwrap_or_default();
        let own = self.transaction.iter().flat_map(|open| &open.writes);
        let server = &groups.servers[standin.index];
        let committed = server.log[..server.applied].iter().map(|e| (&e.id, &e.item, &e.data));
        let visible = committed.chain(own.map(|(id, item, data)| (id, item, data)));
        let newest = visible.rev().find(|(_, of, _)| &***of == item);
        let read = !write && verb != "COMMIT";
        let rows: Vec<Box<str>> =
            newest.filter(|_| read).map(|(_, _, data)| data.clone()).into_iter().collect();
        let signature = format!("{:x}.{}", rand::random::<u64>(), standin.index);
        let (account, values) = (&*self.account, &self.values);
        let execution =
            Execution { id, account, text: &text, values, rows: &rows, signature: &signature };
        groups.check_execution(standin.index, &execution);
        if write {
            let data = args.get(1).copied().unwrap_or_default();
            let write = (id.into(), item.into(), data.into());
            match &mut self.transaction {
                Some(open) => open.writes.push(write),
                None => groups.commit(standin.index, &[write]),
            }
        }
        if verb == "COMMIT"
            && let Some(open) = self.transaction.take()
        {
            groups.commit(standin.index, &open.writes);
        }
        if rand::random_bool(groups.servers[standin.index].loss) {
            return Reply::Lost;
        }
        Reply::Done(rows, signature.into())
    }

    /// Returns whether the open transaction belongs to the statement's session. The transaction's
    /// first statement assigns it to a session; without a transaction the result is true.
    fn same_session(&mut self, id: &str) -> bool {
        let groups = self.standin.groups.borrow();
        let sent = groups.sent.get(id).map(|sent| sent.operation.0);
        match &mut self.transaction {
            Some(open) => *open.session.get_or_insert(sent.unwrap_or(0)) == sent.unwrap_or(0),
            None => true,
        }
    }
}
