//! The log, the term and the promises of one server.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    fs::{self, File, OpenOptions},
    io::Write,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use bergamottrack_coordination::{
    Point, Position, Term,
    leadership::{Role, Status},
};
use rusqlite::Connection;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use super::{ServerArgs, values::Value};

/// A statement that changed something.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
    pub sql: Box<str>,
    pub params: Vec<Value>,
}

/// A committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    pub term: Term,
    pub changes: Vec<Change>,
}

/// What a server keeps of its promises over a restart.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Vows {
    primary: bool,
    term: Term,
    promised: Term,
    holder: Box<str>,
}

/// What a person may change while the server runs.
pub struct Knobs {
    pub lag: Cell<Duration>,
    pub service: Cell<Duration>,
    /// How long a cancel is on its way.
    pub cancel: Cell<Duration>,
}

/// What a server has served.
#[derive(Default)]
pub struct Served {
    pub primary_reads: Cell<u64>,
    pub replica_reads: Cell<u64>,
    pub writes: Cell<u64>,
    /// The most connections at once.
    pub connections: Cell<usize>,
    /// The most statements at once that waited for a slot.
    pub waiting: Cell<usize>,
}

impl Served {
    /// Primary reads, replica reads, writes, most connections, most waiting.
    pub fn line(&self) -> String {
        let Self { primary_reads, replica_reads, writes, connections, waiting } = self;
        let [primary, replica, writes] = [primary_reads, replica_reads, writes].map(Cell::get);
        format!("{primary} {replica} {writes} {} {}", connections.get(), waiting.get())
    }
}

/// A statement that waits for a slot; it may be given up.
struct Waiting<'a>(&'a Engine);

impl<'a> Waiting<'a> {
    fn new(engine: &'a Engine) -> Self {
        // One that finds a slot does not wait.
        let waiting = engine.waiting.get() + usize::from(engine.slots.available_permits() == 0);
        engine.waiting.set(engine.waiting.get() + 1);
        raise(&engine.served.waiting, waiting);
        Self(engine)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Notes a value if it is the greatest so far.
pub fn raise(greatest: &Cell<usize>, value: usize) {
    greatest.set(greatest.get().max(value));
}

/// One server.
pub struct Engine {
    pub args: ServerArgs,
    pub knobs: Knobs,
    pub served: Served,
    /// Statements that run at once.
    pub slots: Semaphore,
    /// Held by the one transaction that writes.
    pub writing: Semaphore,
    /// Woken at every change of log, term or role.
    pub changed: Notify,
    /// Grows when records are taken back; sessions of an older one are closed.
    pub generation: Cell<u64>,
    pub sessions: Cell<usize>,
    /// Statements that wait for a slot.
    pub waiting: Cell<usize>,
    /// The number of the last session, for cancels.
    pub last_session: Cell<i32>,
    /// What each running session is cancelled by.
    pub running: RefCell<HashMap<i32, Rc<Notify>>>,
    vows: RefCell<Vows>,
    log: RefCell<Vec<Record>>,
    /// When each record that is held but not applied was received.
    received: RefCell<VecDeque<Instant>>,
    applied: Cell<usize>,
    db: RefCell<Connection>,
    file: RefCell<File>,
}

impl Engine {
    /// Opens the server's data and replays its log.
    pub fn open(args: &ServerArgs) -> anyhow::Result<Self> {
        fs::create_dir_all(&args.data).context("making the data directory")?;
        let vows_file = args.data.join("vows");
        let vows = match fs::read(&vows_file) {
            Ok(bytes) => ciborium::from_reader(&bytes[..]).context("reading the vows")?,
            Err(_) if args.primary => {
                Vows { primary: true, term: Term(1), promised: Term(1), holder: "first".into() }
            }
            Err(_) => Vows { promised: Term(1), term: Term(1), ..Vows::default() },
        };
        let log = read_log(&args.data.join("log"))?;
        let engine = Self {
            knobs: Knobs {
                lag: Cell::new(Duration::from_millis(args.lag_ms)),
                service: Cell::new(Duration::from_millis(args.service_ms)),
                cancel: Cell::default(),
            },
            served: Served::default(),
            slots: Semaphore::new(args.slots),
            writing: Semaphore::new(1),
            changed: Notify::new(),
            generation: Cell::new(0),
            sessions: Cell::new(0),
            waiting: Cell::new(0),
            last_session: Cell::new(0),
            running: RefCell::default(),
            vows: RefCell::new(vows),
            applied: Cell::new(0),
            received: RefCell::default(),
            db: RefCell::new(fresh_db(&args.data, 0)?),
            file: RefCell::new(log_file(&args.data)?),
            log: RefCell::new(log),
            args: args.clone(),
        };
        engine.apply_all()?;
        if engine.leads() && engine.held().position == Position(0) {
            engine.append(Vec::new())?;
        }
        engine.keep_vows()?;
        Ok(engine)
    }

    /// A connection of a session's own to the data.
    pub fn connect(&self) -> anyhow::Result<Connection> {
        open_db(&db_path(&self.args.data, self.generation.get()))
    }

    /// Counts a statement.
    pub fn count(&self, reads: bool) {
        let Served { primary_reads, replica_reads, writes, .. } = &self.served;
        let counter = match (reads, self.leads()) {
            (false, _) => writes,
            (true, true) => primary_reads,
            (true, false) => replica_reads,
        };
        counter.set(counter.get() + 1);
    }

    /// Waits for a slot.
    pub async fn slot(&self) -> anyhow::Result<SemaphorePermit<'_>> {
        let waiting = Waiting::new(self);
        let slot = self.slots.acquire().await?;
        drop(waiting);
        Ok(slot)
    }

    /// What this server says of itself.
    pub fn status(&self) -> Status {
        let vows = self.vows.borrow();
        Status {
            role: if vows.primary { Role::Primary } else { Role::Replica },
            term: vows.term,
            promised: vows.promised,
            held: self.held(),
            applied: self.point_at(self.applied.get()),
        }
    }

    /// Whether it takes writes.
    pub fn leads(&self) -> bool {
        let vows = self.vows.borrow();
        vows.primary && vows.promised == vows.term
    }

    /// The last record in the log.
    pub fn held(&self) -> Point {
        self.point_at(self.log.borrow().len())
    }

    /// The last record that reads show.
    pub fn shown(&self) -> Point {
        self.point_at(self.applied.get())
    }

    fn point_at(&self, length: usize) -> Point {
        match length {
            0 => Point::default(),
            n => Point { term: self.log.borrow()[n - 1].term, position: Position(n as u64) },
        }
    }

    /// Records from a position on.
    pub fn records_after(&self, position: usize) -> Vec<Record> {
        self.log.borrow().iter().skip(position).cloned().collect()
    }

    /// The last position of each term in the log.
    pub fn terms(&self) -> Vec<Point> {
        let log = self.log.borrow();
        let mut terms: Vec<Point> = Vec::new();
        for (i, record) in log.iter().enumerate() {
            let point = Point { term: record.term, position: Position(i as u64 + 1) };
            match terms.last_mut() {
                Some(last) if last.term == record.term => *last = point,
                _ => terms.push(point),
            }
        }
        terms
    }

    /// How much of another server's log is the same as this one's.
    pub fn common(&self, theirs: &[Point]) -> usize {
        let mine = self.terms();
        let mut common = 0;
        for (a, b) in mine.iter().zip(theirs) {
            if a.term != b.term {
                break;
            }
            common = a.position.min(b.position).0 as usize;
            if a.position != b.position {
                break;
            }
        }
        common
    }

    /// Writes a record of this primary's own transaction, already in its data.
    pub fn append(&self, changes: Vec<Change>) -> anyhow::Result<Point> {
        let term = self.vows.borrow().term;
        let record = Record { term, changes };
        self.keep(&record)?;
        self.log.borrow_mut().push(record);
        self.applied.set(self.log.borrow().len());
        self.changed.notify_waiters();
        Ok(self.held())
    }

    /// Takes records of the primary of `term`; an error when a later term is promised.
    pub fn receive(&self, term: Term, records: Vec<Record>, now: Instant) -> anyhow::Result<()> {
        self.accept(term)?;
        for record in records {
            self.keep(&record)?;
            self.log.borrow_mut().push(record);
            self.received.borrow_mut().push_back(now);
        }
        self.changed.notify_waiters();
        Ok(())
    }

    /// Follows the primary of `term`.
    pub fn accept(&self, term: Term) -> anyhow::Result<()> {
        let mut vows = self.vows.borrow_mut();
        ensure!(term >= vows.promised, "term {} is promised", vows.promised);
        ensure!(!(vows.primary && vows.term == term), "this server leads term {term}");
        if vows.term != term || vows.primary || vows.promised != term {
            if vows.promised != term {
                vows.holder = "".into();
            }
            (vows.primary, vows.term, vows.promised) = (false, term, term);
            drop(vows);
            self.keep_vows()?;
            self.changed.notify_waiters();
        }
        Ok(())
    }

    /// Takes back all records after `length`; sessions are closed.
    pub fn truncate(&self, length: usize) -> anyhow::Result<()> {
        if self.log.borrow().len() <= length {
            return Ok(());
        }
        self.log.borrow_mut().truncate(length);
        self.received.borrow_mut().clear();
        self.generation.set(self.generation.get() + 1);
        *self.db.borrow_mut() = fresh_db(&self.args.data, self.generation.get())?;
        self.applied.set(0);
        self.rewrite_log()?;
        self.apply_all()?;
        self.changed.notify_waiters();
        Ok(())
    }

    /// Applies the next record if it has been held for the lag.
    pub fn apply_due(&self, now: Instant) -> anyhow::Result<bool> {
        let due = self.received.borrow().front().is_some_and(|t| now >= *t + self.knobs.lag.get());
        if due {
            self.received.borrow_mut().pop_front();
            self.apply_next()?;
            self.changed.notify_waiters();
        }
        Ok(due)
    }

    fn apply_all(&self) -> anyhow::Result<()> {
        self.received.borrow_mut().clear();
        while self.applied.get() < self.log.borrow().len() {
            self.apply_next()?;
        }
        Ok(())
    }

    fn apply_next(&self) -> anyhow::Result<()> {
        let i = self.applied.get();
        let log = self.log.borrow();
        let mut db = self.db.borrow_mut();
        let transaction = db.transaction()?;
        for change in &log[i].changes {
            let mut statement = transaction.prepare_cached(&change.sql)?;
            super::values::bind(&mut statement, &change.params)?;
            let mut rows = statement.raw_query();
            while rows.next()?.is_some() {}
        }
        transaction.commit()?;
        self.applied.set(i + 1);
        Ok(())
    }

    /// Promises `term` to `holder` and to no other.
    pub fn promise(&self, term: Term, holder: &str) -> anyhow::Result<Status> {
        let mut vows = self.vows.borrow_mut();
        let taken = vows.primary && vows.term == term;
        let again = term == vows.promised && *vows.holder == *holder && !taken;
        ensure!(term > vows.promised || again, "term {} is promised", vows.promised);
        (vows.promised, vows.holder) = (term, holder.into());
        drop(vows);
        self.keep_vows()?;
        self.changed.notify_waiters();
        Ok(self.status())
    }

    /// Becomes the primary of a term promised to `holder`.
    pub fn promote(&self, term: Term, holder: &str) -> anyhow::Result<Status> {
        {
            let vows = self.vows.borrow();
            ensure!(
                vows.promised == term && *vows.holder == *holder,
                "term {term} was not promised to {holder}"
            );
            if vows.primary && vows.term == term {
                drop(vows);
                return Ok(self.status());
            }
        }
        self.apply_all()?;
        {
            let mut vows = self.vows.borrow_mut();
            (vows.primary, vows.term) = (true, term);
        }
        self.keep_vows()?;
        self.append(Vec::new())?;
        Ok(self.status())
    }

    fn keep_vows(&self) -> anyhow::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&*self.vows.borrow(), &mut bytes)?;
        let path = self.args.data.join("vows");
        let next = self.args.data.join("vows.next");
        fs::write(&next, bytes).context("writing the vows")?;
        fs::rename(next, path).context("writing the vows")
    }

    fn keep(&self, record: &Record) -> anyhow::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(record, &mut bytes)?;
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        self.file.borrow_mut().write_all(&framed).context("writing the log")
    }

    fn rewrite_log(&self) -> anyhow::Result<()> {
        fs::write(self.args.data.join("log"), b"").context("emptying the log")?;
        *self.file.borrow_mut() = log_file(&self.args.data)?;
        self.log.borrow().iter().try_for_each(|record| self.keep(record))
    }
}

fn log_file(data: &Path) -> anyhow::Result<File> {
    let options = OpenOptions::new().append(true).create(true).open(data.join("log"));
    options.context("opening the log")
}

fn read_log(path: &Path) -> anyhow::Result<Vec<Record>> {
    let bytes = fs::read(path).unwrap_or_default();
    let mut rest = &bytes[..];
    let mut log = Vec::new();
    while let Some((length, body)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        // A record cut short by a kill was never told to anybody.
        let Some(body) = body.get(..length) else { break };
        log.push(ciborium::from_reader(body).context("reading the log")?);
        rest = &rest[4 + length..];
    }
    Ok(log)
}

fn db_path(data: &Path, generation: u64) -> PathBuf {
    data.join(format!("data-{}-{generation}.sqlite", std::process::id()))
}

fn fresh_db(data: &Path, generation: u64) -> anyhow::Result<Connection> {
    let path = db_path(data, generation);
    let _ = fs::remove_file(&path);
    open_db(&path)
}

fn open_db(path: &Path) -> anyhow::Result<Connection> {
    let db = Connection::open(path).context("opening the data")?;
    db.pragma_update(None, "journal_mode", "wal")?;
    db.pragma_update(None, "synchronous", "off")?;
    Ok(db)
}
