//! State of one server: its log, its database, its term and its promises.

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

/// Statement that changed data, with its parameters.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
    pub sql: Box<str>,
    pub params: Vec<Value>,
}

/// Log record of a committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    pub term: Term,
    pub changes: Vec<Change>,
}

/// Election state of a server, persisted in the file `vows` over a restart.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ElectionState {
    primary: bool,
    term: Term,
    promised: Term,
    holder: Box<str>,
}

/// Settings that can be changed while the server runs.
pub struct Tunables {
    /// Delay before a replica applies received records.
    pub lag: Cell<Duration>,
    /// Minimum time that a statement takes.
    pub service_time: Cell<Duration>,
    /// Delay before a cancel request takes effect.
    pub cancel_delay: Cell<Duration>,
}

/// Counters of a server since its start.
#[derive(Default)]
pub struct Stats {
    pub primary_reads: Cell<u64>,
    pub replica_reads: Cell<u64>,
    pub writes: Cell<u64>,
    /// Maximum number of concurrent connections.
    pub connections: Cell<usize>,
    /// Maximum number of statements that waited for a slot at once.
    pub waiting: Cell<usize>,
}

impl Stats {
    /// Returns primary reads, replica reads, writes, maximum connections and maximum waiting
    /// statements, separated by spaces.
    pub fn line(&self) -> String {
        let Self { primary_reads, replica_reads, writes, connections, waiting } = self;
        let [primary, replica, writes] = [primary_reads, replica_reads, writes].map(Cell::get);
        format!("{primary} {replica} {writes} {} {}", connections.get(), waiting.get())
    }
}

/// Guard that counts a statement that waits for a slot, also when the wait is cancelled.
struct WaitCounter<'a>(&'a Engine);

impl<'a> WaitCounter<'a> {
    fn new(engine: &'a Engine) -> Self {
        // A statement that finds a free slot does not wait.
        let waiting = engine.waiting.get() + usize::from(engine.slots.available_permits() == 0);
        engine.waiting.set(engine.waiting.get() + 1);
        set_max(&engine.stats.waiting, waiting);
        Self(engine)
    }
}

impl Drop for WaitCounter<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Raises a running maximum to `value` if that is greater.
pub fn set_max(max: &Cell<usize>, value: usize) {
    max.set(max.get().max(value));
}

/// State of one server, shared by all its tasks.
pub struct Engine {
    pub args: ServerArgs,
    pub tunables: Tunables,
    pub stats: Stats,
    /// Permits for statements that run concurrently.
    pub slots: Semaphore,
    /// Permit held by the transaction that writes; there is only one at a time.
    pub write_lock: Semaphore,
    /// Notified at every change of log, term or role.
    pub changed: Notify,
    /// Incremented when the log is truncated; sessions of an older generation are closed.
    pub generation: Cell<u64>,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Number of statements that wait for a slot.
    pub waiting: Cell<usize>,
    /// Process id last given to a session, by which cancel requests name it.
    pub last_pid: Cell<i32>,
    /// Notifier that cancels the running statement of a session, by process id.
    pub cancel_signals: RefCell<HashMap<i32, Rc<Notify>>>,
    election: RefCell<ElectionState>,
    log: RefCell<Vec<Record>>,
    /// Arrival time of each record that is in the log but not applied.
    received_at: RefCell<VecDeque<Instant>>,
    /// Number of records applied to the database.
    applied: Cell<usize>,
    db: RefCell<Connection>,
    file: RefCell<File>,
}

impl Engine {
    /// Opens the server's data directory and replays its log.
    pub fn open(args: &ServerArgs) -> anyhow::Result<Self> {
        fs::create_dir_all(&args.data).context("creating the data directory")?;
        let election_file = args.data.join("vows");
        let election = match fs::read(&election_file) {
            Ok(bytes) => ciborium::from_reader(&bytes[..]).context("reading the election state")?,
            Err(_) if args.primary => ElectionState {
                primary: true,
                term: Term(1),
                promised: Term(1),
                holder: "first".into(),
            },
            Err(_) => {
                ElectionState { promised: Term(1), term: Term(1), ..ElectionState::default() }
            }
        };
        let log = read_log(&args.data.join("log"))?;
        let engine = Self {
            tunables: Tunables {
                lag: Cell::new(Duration::from_millis(args.lag_ms)),
                service_time: Cell::new(Duration::from_millis(args.service_ms)),
                cancel_delay: Cell::default(),
            },
            stats: Stats::default(),
            slots: Semaphore::new(args.slots),
            write_lock: Semaphore::new(1),
            changed: Notify::new(),
            generation: Cell::new(0),
            sessions: Cell::new(0),
            waiting: Cell::new(0),
            last_pid: Cell::new(0),
            cancel_signals: RefCell::default(),
            election: RefCell::new(election),
            applied: Cell::new(0),
            received_at: RefCell::default(),
            db: RefCell::new(create_db(&args.data, 0)?),
            file: RefCell::new(log_file(&args.data)?),
            log: RefCell::new(log),
            args: args.clone(),
        };
        engine.apply_all()?;
        if engine.leads() && engine.held().position == Position(0) {
            engine.append(Vec::new())?;
        }
        engine.save_election()?;
        Ok(engine)
    }

    /// Opens a connection to the database for one session.
    pub fn connect(&self) -> anyhow::Result<Connection> {
        open_db(&db_path(&self.args.data, self.generation.get()))
    }

    /// Counts a statement as primary read, replica read or write.
    pub fn count(&self, reads: bool) {
        let Stats { primary_reads, replica_reads, writes, .. } = &self.stats;
        let counter = match (reads, self.leads()) {
            (false, _) => writes,
            (true, true) => primary_reads,
            (true, false) => replica_reads,
        };
        counter.set(counter.get() + 1);
    }

    /// Waits for a free slot and takes it.
    pub async fn acquire_slot(&self) -> anyhow::Result<SemaphorePermit<'_>> {
        let waiting = WaitCounter::new(self);
        let slot = self.slots.acquire().await?;
        drop(waiting);
        Ok(slot)
    }

    /// Returns the status reported to sessions.
    pub fn status(&self) -> Status {
        let election = self.election.borrow();
        Status {
            role: if election.primary { Role::Primary } else { Role::Replica },
            term: election.term,
            promised: election.promised,
            held: self.held(),
            applied: self.point_at(self.applied.get()),
        }
    }

    /// Returns whether this server accepts writes: it is the primary of its term and has
    /// promised no later term.
    pub fn leads(&self) -> bool {
        let election = self.election.borrow();
        election.primary && election.promised == election.term
    }

    /// Returns the point of the last record in the log.
    pub fn held(&self) -> Point {
        self.point_at(self.log.borrow().len())
    }

    /// Returns the point of the last applied record, which reads reflect.
    pub fn applied_point(&self) -> Point {
        self.point_at(self.applied.get())
    }

    /// Returns the point of the last record of a log prefix with this length.
    fn point_at(&self, length: usize) -> Point {
        match length {
            0 => Point::default(),
            n => Point { term: self.log.borrow()[n - 1].term, position: Position(n as u64) },
        }
    }

    /// Returns the records after a position.
    pub fn records_after(&self, position: usize) -> Vec<Record> {
        self.log.borrow().iter().skip(position).cloned().collect()
    }

    /// Returns the last point of each term in the log, in ascending order.
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

    /// Returns the length of the prefix that this log shares with another server's log, given
    /// by the last points of its terms.
    pub fn common_length(&self, theirs: &[Point]) -> usize {
        let mine = self.terms();
        let mut common_length = 0;
        for (a, b) in mine.iter().zip(theirs) {
            if a.term != b.term {
                break;
            }
            common_length = a.position.min(b.position).0 as usize;
            if a.position != b.position {
                break;
            }
        }
        common_length
    }

    /// Appends a transaction of this primary, which its database already contains, to the log.
    pub fn append(&self, changes: Vec<Change>) -> anyhow::Result<Point> {
        let term = self.election.borrow().term;
        let record = Record { term, changes };
        self.write_record(&record)?;
        self.log.borrow_mut().push(record);
        self.applied.set(self.log.borrow().len());
        self.changed.notify_waiters();
        Ok(self.held())
    }

    /// Appends records received from the primary of `term`; fails if a later term is promised.
    pub fn receive(&self, term: Term, records: Vec<Record>, now: Instant) -> anyhow::Result<()> {
        self.follow_term(term)?;
        for record in records {
            self.write_record(&record)?;
            self.log.borrow_mut().push(record);
            self.received_at.borrow_mut().push_back(now);
        }
        self.changed.notify_waiters();
        Ok(())
    }

    /// Becomes a replica of `term`; fails if a later term is promised or this server is the
    /// primary of `term`.
    pub fn follow_term(&self, term: Term) -> anyhow::Result<()> {
        let mut election = self.election.borrow_mut();
        ensure!(term >= election.promised, "the later term {} is promised", election.promised);
        ensure!(
            !(election.primary && election.term == term),
            "this server is the primary of term {term}"
        );
        if election.term != term || election.primary || election.promised != term {
            if election.promised != term {
                election.holder = "".into();
            }
            (election.primary, election.term, election.promised) = (false, term, term);
            drop(election);
            self.save_election()?;
            self.changed.notify_waiters();
        }
        Ok(())
    }

    /// Removes all records after `length` and rebuilds the database; open sessions are closed.
    pub fn truncate(&self, length: usize) -> anyhow::Result<()> {
        if self.log.borrow().len() <= length {
            return Ok(());
        }
        self.log.borrow_mut().truncate(length);
        self.received_at.borrow_mut().clear();
        self.generation.set(self.generation.get() + 1);
        *self.db.borrow_mut() = create_db(&self.args.data, self.generation.get())?;
        self.applied.set(0);
        self.rewrite_log()?;
        self.apply_all()?;
        self.changed.notify_waiters();
        Ok(())
    }

    /// Applies the next record if the lag has passed since its arrival; returns whether it did.
    pub fn apply_due(&self, now: Instant) -> anyhow::Result<bool> {
        let due =
            self.received_at.borrow().front().is_some_and(|t| now >= *t + self.tunables.lag.get());
        if due {
            self.received_at.borrow_mut().pop_front();
            self.apply_next()?;
            self.changed.notify_waiters();
        }
        Ok(due)
    }

    fn apply_all(&self) -> anyhow::Result<()> {
        self.received_at.borrow_mut().clear();
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

    /// Promises `term` to `holder` only. Fails if this or a later term is promised, unless
    /// `holder` repeats its request before the promotion.
    pub fn promise(&self, term: Term, holder: &str) -> anyhow::Result<Status> {
        let mut election = self.election.borrow_mut();
        let promoted = election.primary && election.term == term;
        let repeated = term == election.promised && *election.holder == *holder && !promoted;
        ensure!(term > election.promised || repeated, "term {} is promised", election.promised);
        (election.promised, election.holder) = (term, holder.into());
        drop(election);
        self.save_election()?;
        self.changed.notify_waiters();
        Ok(self.status())
    }

    /// Becomes the primary of `term`, which must be promised to `holder`; applies the whole log
    /// first.
    pub fn promote(&self, term: Term, holder: &str) -> anyhow::Result<Status> {
        {
            let election = self.election.borrow();
            ensure!(
                election.promised == term && *election.holder == *holder,
                "term {term} was not promised to {holder}"
            );
            if election.primary && election.term == term {
                drop(election);
                return Ok(self.status());
            }
        }
        self.apply_all()?;
        {
            let mut election = self.election.borrow_mut();
            (election.primary, election.term) = (true, term);
        }
        self.save_election()?;
        self.append(Vec::new())?;
        Ok(self.status())
    }

    /// Persists the election state; replaces the file atomically.
    fn save_election(&self) -> anyhow::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&*self.election.borrow(), &mut bytes)?;
        let path = self.args.data.join("vows");
        let next = self.args.data.join("vows.next");
        fs::write(&next, bytes).context("writing the vows")?;
        fs::rename(next, path).context("writing the vows")
    }

    /// Appends a record to the log file, preceded by its length in 4 bytes.
    fn write_record(&self, record: &Record) -> anyhow::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(record, &mut bytes)?;
        let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&bytes);
        self.file.borrow_mut().write_all(&frame).context("writing the log")
    }

    fn rewrite_log(&self) -> anyhow::Result<()> {
        fs::write(self.args.data.join("log"), b"").context("emptying the log")?;
        *self.file.borrow_mut() = log_file(&self.args.data)?;
        self.log.borrow().iter().try_for_each(|record| self.write_record(record))
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
        // A record truncated by a kill was never acknowledged or replicated.
        let Some(body) = body.get(..length) else { break };
        log.push(ciborium::from_reader(body).context("reading the log")?);
        rest = &rest[4 + length..];
    }
    Ok(log)
}

fn db_path(data: &Path, generation: u64) -> PathBuf {
    data.join(format!("data-{}-{generation}.sqlite", std::process::id()))
}

/// Creates an empty database for a generation.
fn create_db(data: &Path, generation: u64) -> anyhow::Result<Connection> {
    let path = db_path(data, generation);
    let _ = fs::remove_file(&path);
    open_db(&path)
}

fn open_db(path: &Path) -> anyhow::Result<Connection> {
    let db = Connection::open(path).context("opening the database")?;
    db.pragma_update(None, "journal_mode", "wal")?;
    db.pragma_update(None, "synchronous", "off")?;
    Ok(db)
}
