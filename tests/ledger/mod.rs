//! Writers that record the reported outcome of each write, and a check of these outcomes against
//! the table of the primary.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bergamottrack_coordination::leadership::Status;
use lab::system::{self, System, WAIT_TIMEOUT};
use tokio::task::JoinHandle;
use tokio_postgres::Config;

/// Interval between two writes of a writer, and between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reported {
    /// The request was executed.
    Done,
    /// The request was not executed.
    NotRun,
    /// It is unknown whether the request was executed.
    Unknown,
}

/// Returns the outcome that an error reports to its caller.
pub fn reported(error: &tokio_postgres::Error) -> Reported {
    let Some(error) = error.as_db_error() else { return Reported::Unknown };
    match (error.detail(), error.code().code()) {
        (Some("done"), _) => Reported::Done,
        (Some("not run"), _) => Reported::NotRun,
        (Some("unknown"), _) => Reported::Unknown,
        // An error of the backend server itself: the statement failed there.
        _ => Reported::NotRun,
    }
}

/// Writers through several hosts, and the reported outcomes of their writes.
pub struct Ledger {
    reported: Arc<Mutex<BTreeMap<String, Reported>>>,
    stop: Arc<AtomicBool>,
    writers: Vec<JoinHandle<()>>,
}

impl Ledger {
    /// Starts two writers through each host.
    pub async fn start(system: &System) -> Self {
        let client = system.connect(0, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)")
            .await
            .unwrap();
        let mut ledger =
            Self { reported: Arc::default(), stop: Arc::default(), writers: Vec::new() };
        for writer in 0..2 * system.plan.hosts {
            let config = system.caller(writer % system.plan.hosts, "baobab", "g1");
            let work = write(writer, config, ledger.reported.clone(), ledger.stop.clone());
            ledger.writers.push(tokio::spawn(work));
        }
        ledger
    }

    /// Returns the number of writes with this reported outcome.
    pub fn count(&self, outcome: Reported) -> usize {
        self.reported.lock().unwrap().values().filter(|r| **r == outcome).count()
    }

    /// Waits until `more` further writes are reported as done.
    pub async fn until_done(&self, more: usize) {
        let wanted = self.count(Reported::Done) + more;
        until("writes are done", async || self.count(Reported::Done) >= wanted).await;
    }

    /// Ends the writers and compares the reported outcomes with the primary's table: a write
    /// reported as done is there once, one reported as not run is not there, and one with an
    /// unknown outcome is there at most once.
    pub async fn check(mut self, system: &System) {
        self.stop.store(true, Ordering::Relaxed);
        for writer in self.writers.drain(..) {
            writer.await.unwrap();
        }
        let (primary, _) = primary(system).await;
        let client = system.connect_server(&primary).await.unwrap();
        let mut rows: BTreeMap<String, usize> = BTreeMap::new();
        for id in system::rows(&client, "SELECT id FROM booking").await.unwrap() {
            *rows.entry(id).or_default() += 1;
        }
        for (id, reported) in self.reported.lock().unwrap().iter() {
            let count = rows.get(id).copied().unwrap_or_default();
            let matches = match reported {
                Reported::Done => count == 1,
                Reported::NotRun => count == 0,
                Reported::Unknown => count <= 1,
            };
            assert!(matches, "{id} was reported as {reported:?} and is in the table {count} times");
        }
        assert!(self.count(Reported::Done) > 0, "no write was done");
    }
}

/// Inserts rows until `stop` is set and records the reported outcome of each. Reconnects when the
/// connection is closed.
async fn write(
    writer: usize,
    config: Config,
    outcomes: Arc<Mutex<BTreeMap<String, Reported>>>,
    stop: Arc<AtomicBool>,
) {
    let mut client = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if client.as_ref().is_none_or(|c: &tokio_postgres::Client| c.is_closed()) {
            client = system::connect(&config).await.ok();
        }
        let Some(client) = &client else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let id = format!("w{writer}-{number}");
        let answer = client.simple_query(&format!("INSERT INTO booking VALUES ('{id}')")).await;
        let outcome = answer.map_or_else(|error| reported(&error), |_| Reported::Done);
        outcomes.lock().unwrap().insert(id, outcome);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a condition holds; `what` describes it for the message of the time-out.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the status that a server reports, if it answers within a second.
pub async fn status(system: &System, server: &str) -> Option<Status> {
    let query = async {
        let client = system.connect_server(server).await.ok()?;
        let rows = system::rows(&client, "SHOW group_status").await.ok()?;
        rows.first()?.parse().ok()
    };
    tokio::time::timeout(Duration::from_secs(1), query).await.ok().flatten()
}

/// Returns the server that leads the greatest term, and its status.
pub async fn primary(system: &System) -> (String, Status) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut leading: Vec<(String, Status)> = Vec::new();
        for name in system.servers.keys() {
            leading.extend(
                status(system, name).await.filter(Status::leads).map(|s| (name.clone(), s)),
            );
        }
        if let Some(found) = leading.into_iter().max_by_key(|(_, status)| status.term) {
            return found;
        }
        assert!(Instant::now() < deadline, "no server leads a term");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a server follows the primary of a term after `term`.
pub async fn until_follows(system: &System, server: &str, term: u64) {
    until(&format!("{server} follows"), async || {
        status(system, server).await.is_some_and(|s| !s.leads() && s.term.0 > term)
    })
    .await;
}
