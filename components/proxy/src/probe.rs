//! Continuous contact with the servers of a group.
//!
//! A report shows what a server has confirmed only if the process that reports is the one that the group's
//! row names: a server that has started again without its log receives the leader's log from the beginning,
//! and its report would count for records that it does not have yet. The entry under which it registers may be
//! that of the earlier process until that one has missed its heartbeats.
//!
//! A connection ends with the process that accepted it. An entry that is still there once an earlier process
//! would have lost it was therefore written by the process at the other end of the connection. The holders of
//! the servers' connections keep contact all the time, so that a failover does not have to wait for this.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::{
    registry,
    store::{self, Table},
};
use bergamottrack_coordination::{ServerId, suspicion};
use bergamottrack_model::Status;
use bergamottrack_platform::http::Client;
use tokio::sync::Notify;
use tracing::debug;

use crate::{
    backend::Backend,
    follow::STORE_TIMEOUT,
    host::Host,
    monitor::{self, StatusError},
    pool::Pool,
};

/// Delay before a connection is opened again, during a failover.
const FAILOVER_REOPEN_DELAY: Duration = Duration::from_millis(50);

/// Delay before a connection is opened again while no failover waits for it.
const REOPEN_DELAY: Duration = Duration::from_millis(1000);

/// Interval between reads of entries while a process is not identified, during a failover.
const FAILOVER_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reads of entries while a process is not identified, and no failover waits for it.
const ENTRY_READ_INTERVAL: Duration = Duration::from_millis(1500);

/// Interval between requests on an idle connection, which a server may close.
const IDLE_INTERVAL: Duration = Duration::from_secs(15);

/// Contact with the servers of a group; ends on drop.
#[derive(Default)]
pub struct Probes {
    shared: Rc<Shared>,
}

/// State that the tasks of all probes share.
#[derive(Default)]
struct Shared {
    /// Empty once the contact has ended.
    probes: RefCell<BTreeMap<ServerId, Rc<Probe>>>,
    ended: Cell<bool>,
    /// Whether the store is read for the entries of the servers.
    reading: Cell<bool>,
    /// Whether a failover waits for the processes to be identified.
    urgent: Cell<bool>,
    /// Notified when a connection is opened, or a process identified.
    updated: Notify,
}

/// Contact with one server.
struct Probe {
    pool: Rc<Pool>,
    /// Time at which the connection was opened; `None` without a connection.
    opened: Cell<Option<Instant>>,
    /// Start of the process at the other end of the connection; `None` while it is not shown.
    started: Cell<Option<u64>>,
    /// Whether the last attempt to open a connection has failed.
    failed: Cell<bool>,
    /// Last answer, and the time at which it was requested.
    answer: Cell<Option<(Instant, Result<Status, StatusError>)>>,
    /// Time of the last request; an answer requested before does not count for it.
    requested: Cell<Option<Instant>>,
    request: Notify,
    answered: Notify,
    ended: Cell<bool>,
    shared: Rc<Shared>,
}

impl Probes {
    /// Begins the contact with the servers that have none, and ends that with servers that are not in
    /// `pools`.
    pub fn keep(&self, host: &Rc<Host>, pools: &[Rc<Pool>]) {
        self.shared.probes.borrow_mut().retain(|_, probe| {
            let kept = pools.iter().any(|pool| Rc::ptr_eq(pool, &probe.pool));
            if !kept {
                probe.end();
            }
            kept
        });
        for pool in pools {
            self.probe(host, pool);
        }
        if !self.shared.reading.replace(true) {
            monoio::spawn(identify(host.clone(), self.shared.clone()));
        }
    }

    /// Sets whether a failover waits for the processes to be identified.
    pub fn set_urgent(&self, urgent: bool) {
        self.shared.urgent.set(urgent);
    }

    /// Requests a server's status as [`monitor::free_status`] does, on the connection that is kept.
    pub async fn status(&self, host: &Rc<Host>, pool: &Rc<Pool>) -> Result<Status, StatusError> {
        self.probe(host, pool).status(host).await
    }

    /// Returns the start of the process that gave a server's last status; `None` if it is not shown.
    pub fn started(&self, server: &ServerId) -> Option<u64> {
        self.shared.probes.borrow().get(server)?.started.get()
    }

    /// Waits until a connection is opened or a process identified, for `limit` at most.
    pub async fn wait_update(&self, limit: Duration) {
        // The servers are asked again in either case.
        let _ = monoio::time::timeout(limit, self.shared.updated.notified()).await;
    }

    fn probe(&self, host: &Rc<Host>, pool: &Rc<Pool>) -> Rc<Probe> {
        let id = pool.listed.borrow().id.clone();
        let mut probes = self.shared.probes.borrow_mut();
        let probe = probes.entry(id).or_insert_with(|| {
            let probe = Rc::new(Probe {
                pool: pool.clone(),
                opened: Cell::default(),
                started: Cell::default(),
                failed: Cell::default(),
                answer: Cell::default(),
                requested: Cell::default(),
                request: Notify::new(),
                answered: Notify::new(),
                ended: Cell::default(),
                shared: self.shared.clone(),
            });
            monoio::spawn(probe.clone().run(host.clone()));
            probe
        });
        probe.clone()
    }
}

impl Drop for Probes {
    fn drop(&mut self) {
        self.shared.ended.set(true);
        self.shared.probes.take().values().for_each(|probe| probe.end());
    }
}

impl Probe {
    /// Ends the contact.
    fn end(&self) {
        self.ended.set(true);
        self.request.notify_one();
    }

    async fn status(&self, host: &Host) -> Result<Status, StatusError> {
        let asked = host.now();
        let deadline = monoio::time::Instant::now() + suspicion::PROBE_TIMEOUT;
        let mut last = Err(StatusError::Silent);
        loop {
            if self.opened.get().is_none() && self.failed.get() {
                return Err(StatusError::Silent);
            }
            if let Some((_, answer)) = self.answer.get().filter(|(sent, _)| *sent >= asked) {
                if !matches!(answer, Err(StatusError::Busy(_))) {
                    return answer;
                }
                last = answer;
            }
            self.requested.set(Some(host.now()));
            self.request.notify_one();
            let answered = monoio::time::timeout_at(deadline, self.answered.notified()).await;
            if answered.is_err() {
                return last;
            }
        }
    }

    /// Keeps a connection open and answers requests on it until the contact ends.
    async fn run(self: Rc<Self>, host: Rc<Host>) {
        while !self.ended.get() {
            match monitor::open(&host, &self.pool).await {
                Ok(backend) => {
                    self.failed.set(false);
                    self.started.set(None);
                    self.opened.set(Some(host.now()));
                    self.shared.updated.notify_one();
                    self.answer_requests(&host, backend).await;
                    self.opened.set(None);
                    self.started.set(None);
                }
                Err(_) => {
                    self.failed.set(true);
                    self.answered.notify_waiters();
                }
            }
            let since = host.now();
            let is_over = || host.now().saturating_duration_since(since) >= REOPEN_DELAY;
            loop {
                monoio::time::sleep(FAILOVER_REOPEN_DELAY).await;
                if self.shared.urgent.get() || self.ended.get() || is_over() {
                    break;
                }
            }
        }
    }

    /// Answers requests until the connection or the contact ends.
    async fn answer_requests(&self, host: &Host, mut backend: Backend) {
        while !self.ended.get() {
            let answered = self.answer.get().map(|(sent, _)| sent);
            if self.requested.get() <= answered
                && monoio::time::timeout(IDLE_INTERVAL, self.request.notified()).await.is_ok()
            {
                continue;
            }
            let sent = host.now();
            let answer = monitor::read_status(&mut backend);
            let answer = monoio::time::timeout(suspicion::PROBE_TIMEOUT, answer).await;
            let answer = answer.unwrap_or(Err(StatusError::Silent));
            self.answer.set(Some((sent, answer)));
            self.answered.notify_waiters();
            match answer {
                Ok(_) => {}
                Err(StatusError::Busy(_)) => monoio::time::sleep(monitor::BUSY_INTERVAL).await,
                Err(_) => return,
            }
        }
    }
}

/// Reads the entries of the servers while the process at the other end of a connection is not known, until
/// the contact ends.
async fn identify(host: Rc<Host>, shared: Rc<Shared>) {
    let client = Client::new(host.settings.store_address);
    // Time since which each read was answered: beside an outage of the store an entry may stay for longer.
    let mut readable: Option<Instant> = None;
    let mut last: Option<Instant> = None;
    while !shared.ended.get() {
        monoio::time::sleep(FAILOVER_READ_INTERVAL).await;
        let is_unknown =
            |probe: &Probe| probe.opened.get().is_some() && probe.started.get().is_none();
        let probes = shared.probes.borrow().clone().into_iter();
        let unknown: Vec<_> = probes.filter(|(_, probe)| is_unknown(probe)).collect();
        if unknown.is_empty() {
            (readable, last) = (None, None);
            continue;
        }
        let interval =
            if shared.urgent.get() { FAILOVER_READ_INTERVAL } else { ENTRY_READ_INTERVAL };
        if last.is_some_and(|last| host.now().saturating_duration_since(last) < interval) {
            continue;
        }
        last = Some(host.now());
        for (id, probe) in unknown {
            let (opened, sent) = (probe.opened.get(), host.now());
            let Ok(started) = read_start(&client, &id).await else {
                readable = None;
                break;
            };
            let readable = *readable.get_or_insert(sent);
            let Some(since) = opened.filter(|_| opened == probe.opened.get()) else { continue };
            let shown =
                sent.saturating_duration_since(since.max(readable)) >= host.settings.entry_ttl;
            if shown && started.is_some() {
                debug!(server = %id, started, "probe: process of the server identified");
                probe.started.set(started);
                shared.updated.notify_one();
            }
        }
    }
}

/// Returns the start of a server's process by its entry; `None` without a valid entry.
async fn read_start(client: &Client, server: &ServerId) -> anyhow::Result<Option<u64>> {
    let end = format!("{server}%00");
    let range = (server.as_str(), end.as_str());
    let rows = store::read_range(client, Table::Servers, range, STORE_TIMEOUT).await?;
    let row = rows.rows.iter().find(|row| &*row.key == server.as_str());
    // An entry that cannot be decoded is that of another writer, as in the list of servers.
    let listed = row.and_then(|row| registry::decode(&row.key, &row.value, rows.clock).ok());
    Ok(listed.map(|listed| listed.started_ms))
}
