//! Stand-ins for the instances of one service: a primary and its replicas, by the line protocol.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Statements that an instance runs at the same time.
const SLOTS: usize = 5;

/// Time for which a new connection occupies a slot.
const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Time that a commit takes to reach a replica.
const REPLICATION_TIME: Duration = Duration::from_millis(1);

/// Time after which a replica applies what it has received, by the sheet of the deployment.
pub const APPLY_LAG: Duration = Duration::from_millis(60);

/// Time from a promotion call until the named instance leads.
const PROMOTE_TIME: Duration = Duration::from_millis(1000);

/// A commit that writes.
#[derive(Clone)]
pub struct Commit {
    /// Term in which it was made.
    pub term: u64,
    /// Items and their data.
    pub writes: Vec<(String, String)>,
    /// Id of the statement that committed it.
    pub id: String,
    received: Instant,
}

/// State of one instance.
pub struct Instance {
    /// The instance's id.
    pub id: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Log, of which a replica has received all.
    pub log: Vec<Commit>,
    /// Whether it leads.
    pub leads: bool,
    /// Term in which it leads or that it follows.
    pub term: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it receives what the primary sends.
    pub receives: bool,
    /// Time after which it applies what it has received.
    pub lag: Duration,
    busy: usize,
    open: Vec<TcpStream>,
}

/// A statement that an instance began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time at which it arrived.
    pub at: Instant,
    /// The instance.
    pub instance: String,
    /// Name of the tenant that the connection was opened for.
    pub tenant: String,
    /// Id of the statement.
    pub id: String,
    /// Text of the statement, without a required position.
    pub text: String,
}

/// What the instances share under one lock.
pub struct State {
    /// The instances.
    pub instances: Vec<Instance>,
    /// Statements of clients, in order of arrival.
    pub runs: Vec<Run>,
    /// Promotions that took effect: the time, the instance, its term and the commits in its log then.
    pub promotions: Vec<(Instant, String, u64, BTreeSet<String>)>,
    signatures: u64,
}

/// A service: one primary and its replicas.
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Time that a read takes.
    pub read_time: Duration,
    /// Time that a write or commit takes.
    pub write_time: Duration,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub sync: bool,
    /// The shared state.
    pub state: Mutex<State>,
    freed: Condvar,
}

#[derive(Default)]
struct Session {
    tenant: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    /// Writes of the open transaction, and whether it may write.
    transaction: Option<(Vec<(String, String)>, bool)>,
    failed: bool,
}

impl Service {
    /// Starts a service with one instance for each loopback address; the first one leads.
    pub fn start(
        name: &str,
        ips: &[&str],
        times: (Duration, Duration),
        sync: bool,
    ) -> std::io::Result<Arc<Self>> {
        let mut instances = Vec::new();
        for (i, ip) in ips.iter().enumerate() {
            let address = TcpListener::bind((*ip, 0))?.local_addr()?;
            instances.push(Instance {
                id: format!("i-{name}-{i}"),
                address,
                log: Vec::new(),
                leads: i == 0,
                term: 1,
                up: false,
                receives: true,
                lag: APPLY_LAG,
                busy: 0,
                open: Vec::new(),
            });
        }
        let state = State { instances, runs: Vec::new(), promotions: Vec::new(), signatures: 0 };
        let service = Arc::new(Self {
            name: name.into(),
            read_time: times.0,
            write_time: times.1,
            sync,
            state: Mutex::new(state),
            freed: Condvar::new(),
        });
        for i in 0..ips.len() {
            service.clone().raise(i)?;
        }
        Ok(service)
    }

    /// Starts the process of an instance, with the log that it had.
    pub fn raise(self: Arc<Self>, i: usize) -> std::io::Result<()> {
        let address = self.state.lock().unwrap().instances[i].address;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        {
            let mut state = self.state.lock().unwrap();
            state.instances[i].up = true;
            state.settle();
        }
        thread::spawn(move || {
            while self.state.lock().unwrap().instances[i].up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let service = self.clone();
                        // A connection that breaks needs no answer.
                        thread::spawn(move || service.serve(i, stream).ok());
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    /// Ends the process of an instance: its connections break and new ones are refused.
    pub fn crash(&self, i: usize) {
        let mut state = self.state.lock().unwrap();
        let instance = &mut state.instances[i];
        instance.up = false;
        for stream in instance.open.drain(..) {
            // The other end may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets an instance receive the log of the primary, or not.
    pub fn set_receives(&self, i: usize, receives: bool) {
        let mut state = self.state.lock().unwrap();
        state.instances[i].receives = receives;
        state.settle();
    }

    /// Handles a promotion call; returns its status.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let state = self.state.lock().unwrap();
        let Some(i) = state.instances.iter().position(|instance| instance.id == id) else {
            return 404;
        };
        if !state.instances[i].up {
            return 409;
        }
        if state.instances[i].leads {
            return 200;
        }
        drop(state);
        let service = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            let mut state = service.state.lock().unwrap();
            let term = 1 + state.instances.iter().map(|instance| instance.term).max().unwrap_or(0);
            for instance in &mut state.instances {
                // The former primary learns it at once if it runs, else when it is back.
                instance.leads = false;
            }
            let instance = &mut state.instances[i];
            (instance.leads, instance.term) = (true, term);
            let id = instance.id.clone();
            let kept = instance.log.iter().map(|commit| commit.id.clone()).collect();
            state.promotions.push((Instant::now(), id, term, kept));
            state.settle();
        });
        200
    }

    fn serve(&self, i: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.state.lock().unwrap().instances[i].open.push(stream.try_clone()?);
        let mut lines = Lines::new(stream.try_clone()?);
        let Some(start) = lines.next()? else { return Ok(()) };
        let words: Vec<&str> = start.split(' ').collect();
        let id = self.state.lock().unwrap().instances[i].id.clone();
        let ["START", service, tenant, rest @ ..] = &words[..] else { return Ok(()) };
        if *service != self.name || rest.first().is_some_and(|expected| *expected != id) {
            return stream.write_all(b"ERROR MISROUTED other\r\n");
        }
        self.occupy(i, CONNECT_TIME);
        stream.write_all(self.ready(i, 'I').as_bytes())?;
        let mut session = Session { tenant: (*tenant).into(), ..Session::default() };
        while let Some(line) = lines.next()? {
            let mut words = line.splitn(3, ' ');
            let (Some("QUERY"), Some(id), Some(text)) = (words.next(), words.next(), words.next())
            else {
                return Ok(());
            };
            let reply = self.statement(i, &mut session, id, text);
            let out = match reply {
                Ok(rows) => {
                    let signature = if text == "BEGIN" || text == "ROLLBACK" || id == "-" {
                        "-".to_owned()
                    } else {
                        let mut state = self.state.lock().unwrap();
                        state.signatures += 1;
                        format!("{i}.{}", state.signatures)
                    };
                    let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                    format!("{rows}DONE {signature}\r\n")
                }
                Err(code) => {
                    session.failed |= session.transaction.is_some();
                    format!("ERROR {code} {i}\r\n")
                }
            };
            let state = match (&session.transaction, session.failed) {
                (None, _) => 'I',
                (Some(_), false) => 'T',
                (Some(_), true) => 'E',
            };
            stream.write_all(format!("{out}{}", self.ready(i, state)).as_bytes())?;
        }
        Ok(())
    }

    fn ready(&self, i: usize, state: char) -> String {
        let shared = self.state.lock().unwrap();
        let instance = &shared.instances[i];
        format!("READY {state} {}.{}\r\n", instance.term, instance.applied())
    }

    /// Occupies one of the instance's slots for a time, after a wait for a free one.
    fn occupy(&self, i: usize, time: Duration) {
        let mut state = self.state.lock().unwrap();
        while state.instances[i].busy >= SLOTS {
            state = self.freed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
        state.instances[i].busy += 1;
        drop(state);
        thread::sleep(time);
        self.state.lock().unwrap().instances[i].busy -= 1;
        self.freed.notify_all();
    }

    fn statement(
        &self,
        i: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<String>, &'static str> {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or((None, rest), |(p, t)| (Some(p), t)),
            None => (None, text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if id != "-" {
            let mut state = self.state.lock().unwrap();
            let instance = state.instances[i].id.clone();
            let (tenant, id) = (session.tenant.clone(), id.into());
            state.runs.push(Run { at: Instant::now(), instance, tenant, id, text: text.into() });
        }
        if session.failed && verb != "ROLLBACK" && verb != "COMMIT" {
            return Err("MALFORMED");
        }
        if let Some((term, number)) = after.and_then(|point| point.split_once('.')) {
            let point: (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let state = self.state.lock().unwrap();
            let instance = &state.instances[i];
            let reached = instance.applied() >= point.1 && instance.term >= point.0;
            if !reached {
                return Err("BEHIND");
            }
        }
        let leads = || self.state.lock().unwrap().instances[i].leads;
        match verb {
            "STATUS" => {
                let state = self.state.lock().unwrap();
                let instance = &state.instances[i];
                if instance.busy >= SLOTS {
                    return Err("BUSY");
                }
                let role = if instance.leads { "primary" } else { "replica" };
                let (term, length) = (instance.term, instance.log.len());
                let (busy, open) = (instance.busy, instance.open.len());
                Ok(vec![format!("{role} {term} {term}.{length} 0 12 {busy} {open}")])
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Ok(Vec::new())
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                session.values.insert(name.into(), value.into());
                Ok(Vec::new())
            }
            "PREPARE" => {
                let mut words = rest.splitn(3, ' ');
                let (name, kind) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                let shape = words.next().unwrap_or("").to_owned();
                session.prepared.insert(name.into(), (kind == "WRITE", shape));
                Ok(Vec::new())
            }
            "FORGET" => Ok(Vec::new()),
            "BEGIN" if rest.is_empty() && !leads() => Err("READONLY"),
            "BEGIN" => {
                session.transaction = Some((Vec::new(), rest.is_empty()));
                Ok(Vec::new())
            }
            "ROLLBACK" => {
                (session.transaction, session.failed) = (None, false);
                Ok(Vec::new())
            }
            "COMMIT" => {
                let (writes, _) = session.transaction.take().ok_or("MALFORMED")?;
                if std::mem::take(&mut session.failed) {
                    return Err("FAILED");
                }
                self.occupy(i, self.write_time);
                self.commit(i, id, writes)
            }
            "READ" => self.read(i, rest),
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(i, session, id, item, data)
            }
            "EXECUTE" => {
                let (name, args) = rest.split_once(' ').unwrap_or((rest, ""));
                let (writes, _) = session.prepared.get(name).ok_or("UNKNOWN")?.clone();
                if !writes {
                    return self.read(i, args);
                }
                let (item, data) = args.split_once(' ').unwrap_or((args, ""));
                self.write(i, session, id, item, data)
            }
            _ => Err("MALFORMED"),
        }
    }

    fn read(&self, i: usize, item: &str) -> Result<Vec<String>, &'static str> {
        self.occupy(i, self.read_time);
        let state = self.state.lock().unwrap();
        let instance = &state.instances[i];
        let shown = instance.log[..instance.applied()].iter().rev();
        let found = shown.flat_map(|commit| &commit.writes).find(|(name, _)| name == item);
        Ok(found.map(|(_, data)| data.clone()).into_iter().collect())
    }

    fn write(
        &self,
        i: usize,
        session: &mut Session,
        id: &str,
        item: &str,
        data: &str,
    ) -> Result<Vec<String>, &'static str> {
        if !self.state.lock().unwrap().instances[i].leads {
            return Err("READONLY");
        }
        self.occupy(i, self.write_time);
        let write = (item.to_owned(), data.to_owned());
        match &mut session.transaction {
            Some((_, false)) => Err("READONLY"),
            Some((writes, true)) => {
                writes.push(write);
                Ok(Vec::new())
            }
            None => self.commit(i, id, vec![write]),
        }
    }

    /// Appends a commit to the primary's log and answers once it may be acknowledged.
    fn commit(
        &self,
        i: usize,
        id: &str,
        writes: Vec<(String, String)>,
    ) -> Result<Vec<String>, &'static str> {
        if writes.is_empty() {
            return Ok(Vec::new());
        }
        let mut state = self.state.lock().unwrap();
        if !state.instances[i].leads {
            return Err("READONLY");
        }
        let term = state.instances[i].term;
        let commit = Commit { term, writes, id: id.into(), received: Instant::now() };
        state.instances[i].log.push(commit);
        let length = state.instances[i].log.len();
        drop(state);
        thread::sleep(REPLICATION_TIME);
        loop {
            let mut state = self.state.lock().unwrap();
            if !state.instances[i].leads || !state.instances[i].up {
                return Err("FAILED");
            }
            state.settle();
            let held = |instance: &Instance| !instance.leads && instance.log.len() >= length;
            if !self.sync || state.instances.iter().any(held) {
                return Ok(Vec::new());
            }
            drop(state);
            thread::sleep(REPLICATION_TIME);
        }
    }
}

impl State {
    /// Has each replica that runs and receives follow the primary's log.
    fn settle(&mut self) {
        let primary = self.instances.iter().position(|instance| instance.leads && instance.up);
        let Some(primary) = primary else { return };
        let (log, term) = (self.instances[primary].log.clone(), self.instances[primary].term);
        let now = Instant::now();
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if i == primary || !instance.up || !instance.receives {
                continue;
            }
            let same = |(a, b): &(&Commit, &Commit)| a.term == b.term && a.id == b.id;
            let common = instance.log.iter().zip(&log).take_while(same).count();
            instance.log.truncate(common);
            let missing = log[common..].iter().cloned();
            instance.log.extend(missing.map(|commit| Commit { received: now, ..commit }));
            instance.term = term;
        }
    }
}

impl Instance {
    /// Returns the length of the log that reads show.
    fn applied(&self) -> usize {
        if self.leads {
            return self.log.len();
        }
        let lags = |commit: &&Commit| commit.received.elapsed() < self.lag;
        self.log.len() - self.log.iter().rev().take_while(lags).count()
    }
}

/// Reads lines that end with CR LF; a line end of another kind is part of the line.
pub struct Lines {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Lines {
    /// Reads from a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Returns the next line; `None` at the end of the stream.
    pub fn next(&mut self) -> std::io::Result<Option<String>> {
        let mut searched = 0;
        loop {
            let found = self.buffer[searched..].windows(2).position(|pair| pair == b"\r\n");
            if let Some(at) = found.map(|at| searched + at) {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(line));
            }
            searched = self.buffer.len().saturating_sub(1);
            let mut chunk = [0; 4096];
            let read = self.stream.read(&mut chunk)?;
            if read == 0 {
                return Ok(None);
            }
            self.buffer.extend_from_slice(&chunk[..read]);
        }
    }
}
