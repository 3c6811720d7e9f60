//! Stand-ins for the backend servers of one database group: the line protocol, a log with
//! asynchronous replication, and promotions.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Statements that a server executes at the same time.
pub const SLOTS: usize = 5;

/// Statements that wait for a slot before further ones get `BUSY`.
const QUEUE: usize = 40;

/// Connections that a server accepts.
pub const MAX_CONNECTIONS: usize = 34;

/// Time for which a new connection occupies a slot.
const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Time for which a statement occupies a slot.
const WORK_TIME: Duration = Duration::from_millis(11);

/// Time from the promotion call until the server leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// Time for which a replaced leader that can reach the new one continues.
const STEP_DOWN_TIME: Duration = Duration::from_millis(1000);

/// Time between a record's arrival at a replica and its visibility to reads.
const LAG: Duration = Duration::from_millis(8);

/// Characters of a write's data that a log keeps, so that long ones do not fill the memory.
const KEPT_DATA: usize = 64;

/// A write in a log.
#[derive(Clone)]
struct Entry {
    id: String,
    item: String,
    data: String,
    /// Arrival at this server.
    at: Instant,
}

/// State of a server.
pub struct Server {
    /// Instance id.
    pub id: String,
    /// Failure domain.
    pub zone: &'static str,
    /// Address.
    pub address: SocketAddr,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it receives nothing from the leader.
    pub deaf: bool,
    /// Whether it reports that it is draining; it serves on.
    pub draining: bool,
    /// Whether it acts as leader.
    pub leads: bool,
    /// Since when it can reach the leader of a later term while it acts as leader itself.
    superseded: Option<Instant>,
    /// Term that it has received.
    pub term: u64,
    log: Vec<Entry>,
    applied: usize,
    running: usize,
    waiting: usize,
    connections: HashMap<u64, TcpStream>,
}

struct Promotion {
    term: u64,
    server: String,
    /// Ids of the writes in the promoted server's log.
    kept: HashSet<String>,
}

#[derive(Default)]
struct State {
    servers: Vec<Server>,
    pending: Vec<(usize, Instant)>,
    promotions: Vec<Promotion>,
    /// Term in which each write was committed, by its statement id.
    committed: HashMap<String, u64>,
    /// Writes whose client has the success.
    acknowledged: Vec<String>,
}

/// A database group and its servers.
pub struct Groups {
    /// Name of the service.
    pub service: String,
    sync_replicas: usize,
    state: Mutex<State>,
    changed: Condvar,
    next: AtomicU64,
    record: Record,
}

enum Reply {
    Done(Vec<String>, String),
    Error(&'static str),
    Lost,
}

struct Transaction {
    may_write: bool,
    writes: Vec<(String, String, String)>,
}

#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
    transaction: Option<Transaction>,
    failed: bool,
}

impl Groups {
    /// Starts one server in each of `zones`; the first one leads.
    pub fn start(
        service: &str,
        zones: &[&'static str],
        sync_replicas: usize,
        record: Record,
    ) -> Arc<Self> {
        let groups = Arc::new(Self {
            service: service.into(),
            sync_replicas,
            state: Mutex::default(),
            changed: Condvar::new(),
            next: AtomicU64::new(1),
            record,
        });
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("listening");
            let address = listener.local_addr().expect("an address");
            groups.lock().servers.push(Server {
                id: format!("i-{index}{service}"),
                zone,
                address,
                up: true,
                deaf: false,
                draining: false,
                leads: index == 0,
                superseded: None,
                term: 1,
                log: Vec::new(),
                applied: 0,
                running: 0,
                waiting: 0,
                connections: HashMap::new(),
            });
            let shared = groups.clone();
            thread::spawn(move || shared.listen(index, listener));
        }
        let shared = groups.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                shared.tick();
            }
        });
        groups
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Calls `read` for each server.
    pub fn each(&self, mut read: impl FnMut(&Server)) {
        self.lock().servers.iter().for_each(|server| read(server));
    }

    /// Index of the server that leads in the newest term.
    pub fn leader(&self) -> Option<usize> {
        leader(&self.lock().servers)
    }

    /// Ends the process of a server: its connections are reset and new ones refused.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        server.up = false;
        for (_, stream) in server.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (id, held) = (server.id.clone(), server.log.len());
        self.changed.notify_all();
        drop(state);
        self.record.line(&format!("disruption: {id} crashes, its log has {held} commits"));
    }

    /// Starts a crashed server again, with its log.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        let newest = state.servers.iter().map(|server| server.term).max().unwrap_or(0);
        let server = &mut state.servers[index];
        server.leads &= server.term == newest;
        server.up = true;
        let id = server.id.clone();
        drop(state);
        self.record.line(&format!("end of disruption: {id} runs again, with its log"));
    }

    /// Sets whether a server receives nothing from the leader.
    pub fn set_deaf(&self, index: usize, deaf: bool) {
        let mut state = self.lock();
        state.servers[index].deaf = deaf;
        let (id, held) = (state.servers[index].id.clone(), state.servers[index].log.len());
        drop(state);
        let what = if deaf {
            "disruption: receives nothing from now on"
        } else {
            "end of disruption: receives again"
        };
        self.record.line(&format!("{what}: {id}, its log has {held} commits"));
    }

    /// Has a server report that it is draining; it serves on.
    pub fn drain(&self, index: usize) {
        let mut state = self.lock();
        state.servers[index].draining = true;
        let id = state.servers[index].id.clone();
        drop(state);
        self.record.line(&format!("planned work: {id} reports that it is draining"));
    }

    /// Records that a client has the success of a write.
    pub fn acknowledge(&self, id: &str) {
        self.lock().acknowledged.push(id.into());
    }

    /// Checks the rule LOST: each acknowledged commit is in the log of each server promoted later.
    /// Returns the number of acknowledged commits.
    pub fn check_lost(&self) -> usize {
        let state = self.lock();
        for promotion in &state.promotions {
            let earlier =
                |id: &&String| state.committed.get(*id).is_some_and(|term| *term < promotion.term);
            let lost: Vec<&String> = state
                .acknowledged
                .iter()
                .filter(earlier)
                .filter(|id| !promotion.kept.contains(*id))
                .collect();
            if !lost.is_empty() {
                let story = format!(
                    "{} acknowledged commits are not in the log of {}, promoted to term {}; the first: {}",
                    lost.len(),
                    promotion.server,
                    promotion.term,
                    lost[0]
                );
                self.record.broken("LOST", &story);
            }
        }
        state.acknowledged.len()
    }

    /// Number of promotions that have taken effect.
    pub fn promotions(&self) -> usize {
        self.lock().promotions.len()
    }

    /// Starts the promotion of a server; returns whether it runs.
    pub fn promote(&self, id: &str) -> bool {
        let mut state = self.lock();
        let index = state.servers.iter().position(|server| server.id == id && server.up);
        let Some(index) = index else { return false };
        let leads = leader(&state.servers) == Some(index);
        if !leads && !state.pending.iter().any(|(other, _)| *other == index) {
            state.pending.push((index, Instant::now() + PROMOTE_TIME));
        }
        true
    }

    /// Completes promotions that are due and replicates the leader's log.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let due: Vec<usize> =
            state.pending.iter().filter(|(_, at)| *at <= now).map(|(i, _)| *i).collect();
        state.pending.retain(|(_, at)| *at > now);
        for index in due {
            if !state.servers[index].up {
                continue;
            }
            let term = state.servers.iter().map(|server| server.term).max().unwrap_or(0) + 1;
            let server = &mut state.servers[index];
            (server.term, server.leads, server.applied) = (term, true, server.log.len());
            let kept = server.log.iter().map(|entry| entry.id.clone()).collect();
            server.superseded = None;
            let (id, held) = (server.id.clone(), server.log.len());
            state.promotions.push(Promotion { term, server: id.clone(), kept });
            self.record.line(&format!("{id} leads term {term} with {held} commits"));
        }
        let Some(from) = leader(&state.servers).filter(|from| state.servers[*from].up) else {
            state.servers.iter_mut().for_each(|server| server.superseded = None);
            return;
        };
        let (term, log) = (state.servers[from].term, state.servers[from].log.clone());
        state.servers[from].applied = log.len();
        let mut advanced = false;
        for index in (0..state.servers.len()).filter(|index| *index != from) {
            let server = &mut state.servers[index];
            if !server.up || server.deaf {
                server.superseded = None;
                continue;
            }
            if server.leads && server.superseded.get_or_insert(now).elapsed() < STEP_DOWN_TIME {
                continue;
            }
            server.superseded = None;
            let common = server.log.iter().zip(&log).take_while(|(a, b)| a.id == b.id).count();
            advanced |= common < log.len() || server.term != term;
            (server.term, server.leads) = (term, false);
            server.log.truncate(common);
            server.log.extend(log[common..].iter().map(|entry| Entry { at: now, ..entry.clone() }));
            let visible = server.log.iter().take_while(|entry| now >= entry.at + LAG).count();
            server.applied = server.applied.min(common).max(visible);
        }
        if advanced {
            self.changed.notify_all();
        }
    }

    /// Accepts connections while the server runs; refuses them while it does not.
    fn listen(self: Arc<Self>, index: usize, listener: TcpListener) {
        let address = listener.local_addr().expect("an address");
        let mut listener = Some(listener);
        loop {
            thread::sleep(Duration::from_millis(2));
            if !self.lock().servers[index].up {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else { continue };
            let _ = open.set_nonblocking(true);
            while let Ok((stream, _)) = open.accept() {
                let (shared, number) = (self.clone(), self.next.fetch_add(1, Ordering::Relaxed));
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { continue };
                self.lock().servers[index].connections.insert(number, copy);
                thread::spawn(move || {
                    let _ = shared.serve(index, stream);
                    shared.lock().servers[index].connections.remove(&number);
                });
            }
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) -> std::io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        input.read_line(&mut line)?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let (id, open) = {
            let state = self.lock();
            (state.servers[index].id.clone(), state.servers[index].connections.len())
        };
        if words.len() < 3
            || words[1] != self.service
            || words.get(3).is_some_and(|other| *other != id)
        {
            return out.write_all(b"ERROR MISROUTED another instance\r\n");
        }
        if open > MAX_CONNECTIONS {
            return out.write_all(b"ERROR TOOMANY connections\r\n");
        }
        if !self.occupy(index, CONNECT_TIME) {
            return out.write_all(b"ERROR BUSY queue\r\n");
        }
        let mut session = Session::default();
        out.write_all(self.ready(index, "I").as_bytes())?;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches("\r\n");
            let Some((id, text)) =
                line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            let reply = self.statement(index, &mut session, id, text);
            let mut answer = match reply {
                Reply::Done(rows, signature) => {
                    let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                    format!("{rows}DONE {signature}\r\n")
                }
                Reply::Error(code) => {
                    session.failed |= session.transaction.is_some();
                    format!("ERROR {code} at the stand-in\r\n")
                }
                Reply::Lost => return Ok(()),
            };
            let state = match (&session.transaction, session.failed) {
                (None, _) => "I",
                (Some(_), false) => "T",
                (Some(_), true) => "E",
            };
            answer.push_str(&self.ready(index, state));
            out.write_all(answer.as_bytes())?;
        }
    }

    fn ready(&self, index: usize, state: &str) -> String {
        let servers = self.lock();
        let server = &servers.servers[index];
        format!("READY {state} {}.{}\r\n", server.term, server.applied)
    }

    /// Occupies a slot for a time; returns false if too many statements wait for one.
    fn occupy(&self, index: usize, time: Duration) -> bool {
        let mut state = self.lock();
        if state.servers[index].waiting >= QUEUE {
            return false;
        }
        state.servers[index].waiting += 1;
        while state.servers[index].running >= SLOTS {
            state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
        state.servers[index].waiting -= 1;
        state.servers[index].running += 1;
        drop(state);
        thread::sleep(time);
        self.lock().servers[index].running -= 1;
        self.changed.notify_all();
        true
    }

    fn statement(&self, index: usize, session: &mut Session, id: &str, text: &str) -> Reply {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '))
        {
            Some((position, rest)) => (Some(position), rest),
            None => (None, text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        let done = || Reply::Done(Vec::new(), "-".into());
        match verb {
            "ROLLBACK" => {
                (session.transaction, session.failed) = (None, false);
                return done();
            }
            "STATUS" => {
                if !self.occupy(index, Duration::from_millis(1)) {
                    return Reply::Error("BUSY");
                }
                let state = self.lock();
                let server = &state.servers[index];
                let role = if server.leads { "primary" } else { "replica" };
                let (term, received, open) =
                    (server.term, server.log.len(), server.connections.len());
                let row = format!("{role} {term} {term}.{received} 0 8 {} {open}", server.running);
                return Reply::Done(vec![row], "-".into());
            }
            _ if session.failed => return Reply::Error("MALFORMED"),
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                return done();
            }
            "SET" => {
                session.values.insert(first.into(), tail.into());
                return done();
            }
            "PREPARE" => {
                session.prepared.insert(first.into(), tail.into());
                return done();
            }
            "FORGET" => {
                session.prepared.remove(first);
                return done();
            }
            _ => {}
        }
        if verb == "BEGIN" {
            if !self.has_applied(index, after) {
                return Reply::Error("BEHIND");
            }
            let may_write = rest.is_empty();
            if may_write && !self.lock().servers[index].leads {
                return Reply::Error("READONLY");
            }
            session.transaction = Some(Transaction { may_write, writes: Vec::new() });
            return done();
        }
        let shape = match verb {
            "EXECUTE" => match session.prepared.get(first) {
                Some(shape) => shape.clone(),
                None => return Reply::Error("UNKNOWN"),
            },
            _ => String::new(),
        };
        if !self.occupy(index, WORK_TIME) {
            return Reply::Error("BUSY");
        }
        if !self.has_applied(index, after) {
            return Reply::Error("BEHIND");
        }
        let writes = verb == "WRITE" || shape.starts_with("WRITE");
        let args = if verb == "EXECUTE" { tail } else { rest };
        let (item, data) = args.split_once(' ').unwrap_or((args, ""));
        self.run(index, session, id, verb, writes, item, data)
    }

    /// Runs a read, a write or a commit.
    #[allow(clippy::too_many_arguments)]
    fn run(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        verb: &str,
        writes: bool,
        item: &str,
        data: &str,
    ) -> Reply {
        let signature =
            format!("{index}.{:x}", self.next.fetch_add(1, Ordering::Relaxed) ^ 0x5bd1_e995_77aa);
        let mut state = self.lock();
        let server = &mut state.servers[index];
        if !server.up {
            return Reply::Lost;
        }
        let plain = session.transaction.as_ref().is_some_and(|open| open.may_write);
        let allowed = session.transaction.as_ref().is_none_or(|open| open.may_write);
        if (writes || plain) && !(server.leads && allowed) {
            return Reply::Error("READONLY");
        }
        if !writes && verb != "COMMIT" {
            let found = server.log[..server.applied].iter().rev().find(|entry| entry.item == item);
            let rows = found.map(|entry| entry.data.clone()).into_iter().collect();
            return Reply::Done(rows, signature);
        }
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        let commits = match (&mut session.transaction, verb) {
            (Some(open), "COMMIT") => std::mem::take(&mut open.writes),
            (None, "COMMIT") => return Reply::Error("MALFORMED"),
            (Some(open), _) => {
                open.writes.push(write);
                return Reply::Done(Vec::new(), signature);
            }
            (None, _) => vec![write],
        };
        session.transaction = None;
        let (term, now) = (server.term, Instant::now());
        for (id, item, data) in &commits {
            let (id, item) = (id.clone(), item.clone());
            let data = data.chars().take(KEPT_DATA).collect();
            server.log.push(Entry { id, item, data, at: now });
        }
        server.applied = server.log.len();
        let number = server.log.len();
        for (id, ..) in &commits {
            state.committed.insert(id.clone(), term);
        }
        if self.sync_replicas > 0 && !commits.is_empty() {
            let has = |state: &State| {
                let others = (0..state.servers.len()).filter(|other| *other != index);
                let holding = others.filter(|other| {
                    state.servers[*other].term == term && state.servers[*other].log.len() >= number
                });
                holding.count() >= self.sync_replicas
            };
            while !has(&state) {
                if !state.servers[index].up {
                    return Reply::Lost;
                }
                state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            }
        }
        let holders: Vec<&str> = state
            .servers
            .iter()
            .filter(|server| server.log.len() >= number && server.term == term)
            .map(|server| &*server.id)
            .collect();
        self.record.line(&format!(
            "{} runs {id} {verb}: {term}.{number}, held by {holders:?}",
            state.servers[index].id
        ));
        Reply::Done(Vec::new(), signature)
    }

    fn has_applied(&self, index: usize, after: Option<&str>) -> bool {
        let position = after.and_then(|text| text.split_once('.'));
        let position =
            position.and_then(|(t, n)| Some((t.parse::<u64>().ok()?, n.parse::<usize>().ok()?)));
        let state = self.lock();
        let server = &state.servers[index];
        position.is_none_or(|(term, number)| server.term >= term && server.applied >= number)
    }
}

fn leader(servers: &[Server]) -> Option<usize> {
    (0..servers.len())
        .filter(|index| servers[*index].leads)
        .max_by_key(|index| servers[*index].term)
}
